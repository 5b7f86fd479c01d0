// Package admission limits the requests that hosts send to overloaded services: it throttles them by recent outcomes,
// picks those that are refused first, and tells refused callers when to retry.
package admission
