// Package ratelimit decides which requests go to a target that limits the requests a second that it takes from all hosts together.
// Each host decides alone, from its own requests and from the sums that hosts tell each other. It has no network and no clock of
// its own.
package ratelimit
