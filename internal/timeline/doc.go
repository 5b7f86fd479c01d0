// Package timeline records the decisions of a process as events and merges the events of several processes, cause before
// effect.
//
// Events carry the time of a hybrid logical clock: the wall clock's milliseconds, but never behind a stamp that the process
// has seen, and a counter for events within one millisecond.
package timeline
