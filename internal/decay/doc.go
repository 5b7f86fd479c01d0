// Package decay computes the decay of counts over time.
package decay
