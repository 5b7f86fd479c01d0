// Package order decides when an order may be sent to a target, so that it runs at most once.
//
// The log decides: a host claims an order's key in the log and sends the order only after it has read back its own claim
// as the first live one. A claim never passes to another host and no lease is involved, so a pause of any length between
// two inputs of a Machine is harmless.
//
// The package is pure: the time is an argument, and a Machine answers each input with the actions to take.
package order
