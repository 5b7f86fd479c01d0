// Package mechanism names the mechanisms that can be disabled one by one, to measure the effect of each.
package mechanism
