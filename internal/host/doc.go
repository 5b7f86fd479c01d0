// Package host puts a serve process together: controllers keep its state current, the entry forwards requests to the
// owners of shards, and owned shards run them on targets.
package host
