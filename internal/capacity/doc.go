// Package capacity measures what the parts of a host cost as their load grows: memory, control traffic, processor time and
// appends to the log.
//
// It calls the packages that a host runs, in simulated time where they allow it. Every quantity is measured at three sizes
// or more, so that costs that do not grow in proportion to the load are visible.
package capacity
