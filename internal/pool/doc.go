// Package pool decides which target of a shard runs which request: load bound, placement, queues, shares and slow start.
//
// The package is pure: the time is an argument, and decisions come back as actions.
package pool
