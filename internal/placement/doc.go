// Package placement chooses the target of a request: where the prompt's parts are likely cached, under the load bound,
// and away from targets that lately failed. It is pure: the time comes in as an argument.
package placement
