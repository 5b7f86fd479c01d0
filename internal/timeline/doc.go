// Package timeline records the decisions of a process as events and merges the events of several processes in causal order.
//
// Events are stamped by a hybrid logical clock: wall clock milliseconds that never run behind a stamp observed from a peer,
// and a counter that orders events within one millisecond.
package timeline
