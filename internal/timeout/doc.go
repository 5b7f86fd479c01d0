// Package timeout estimates how long targets that work take to show progress, so that slow ones are told apart from
// those that hang.
package timeout
