// Package order ensures that an order runs at most once across all hosts.
//
// A host appends a claim of the order's idempotency key to the log and sends the order to a target only after it has
// read its own claim back and found that it holds the key. The first claim in the log holds the key until it is
// released or expires. A claim never moves to another host and there is no lease, so a pause of any length between two
// inputs of a Machine is safe.
//
// The package does no input or output: the time is an argument, and a Machine returns the actions to perform.
package order
