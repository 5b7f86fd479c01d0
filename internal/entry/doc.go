// Package entry runs an entry host, which accepts callers' requests, chooses a target for each and forwards the answers.
// It persists nothing: its state comes from the platform's store, other hosts and the answers of targets.
package entry
