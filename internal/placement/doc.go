// Package placement selects the target of each request: one that likely has the shared part of the prompt cached, that is
// within the load bound, and that has not failed recently. It never reads the clock; callers pass the time.
package placement
