// Package attempt decides what a host does when an attempt to send a request to a target ends without a complete answer or
// with the target's error: retry, refuse, fail or deliver the error.
package attempt
