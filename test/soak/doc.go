// Package soak runs entry hosts as separate processes, injects faults from outside them in series that overlap, and
// checks the users' promises from what callers and targets see.
package soak
