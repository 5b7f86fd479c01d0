// Package host implements the process that the serve command runs with a host settings file. Controllers keep its state up
// to date, the entry forwards requests to the owners of shards, and owned shards run them on targets.
package host
