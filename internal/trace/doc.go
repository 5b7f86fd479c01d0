// Package trace reads, writes and generates traces. A trace describes the requests to one site and the churn of its hosts and
// targets, as JSON lines in time order after a header.
package trace
