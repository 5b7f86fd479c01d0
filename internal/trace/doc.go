// Package trace reads, writes and generates traces: the requests and the churn of one site as JSON lines in time order.
package trace
