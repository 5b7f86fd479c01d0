// Package mechanism names the mechanisms that can be switched off one by one, to measure the effect of each.
package mechanism
