// Package mechanism names the mechanisms that can be switched off one by one, to measure what each of them is worth.
package mechanism
