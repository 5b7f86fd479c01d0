// Package decay says how much of a count is kept as time goes by.
package decay
