// Package retrybudget limits retries to a share of the requests. Each host enforces its own part of the limit, so that the
// limit for all hosts holds without coordination.
package retrybudget
