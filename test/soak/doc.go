// Package soak runs entry hosts as separate processes, injects overlapping faults from outside the processes, and checks the
// guarantees to callers from what callers and targets observe.
package soak
