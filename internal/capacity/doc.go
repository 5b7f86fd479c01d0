// Package capacity measures what the parts of a host cost as their load grows: bytes of memory, control traffic,
// processor time and appends to the log.
//
// It drives the packages that a host runs. Every quantity is measured at three sizes or more, so that a bend shows.
package capacity
