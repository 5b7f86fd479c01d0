// Package attempt decides what follows when a request that was sent to a target did not end with a whole answer.
package attempt
