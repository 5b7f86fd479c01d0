// Package retrybudget allows retries as a share of the requests, summed over all hosts without a word between them.
package retrybudget
