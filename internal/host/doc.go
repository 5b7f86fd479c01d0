// Package host implements a serve process. Controllers keep its state up to date, the entry forwards requests to the
// owners of shards, and owned shards run them on targets.
package host
