// Package timeout estimates adaptive timeouts from the waits for progress of targets, so that slow targets are told apart
// from those that hang.
package timeout
