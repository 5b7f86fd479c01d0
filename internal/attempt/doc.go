// Package attempt decides what a host does when an attempt to send a request to a target ends without a complete answer:
// retry, refuse or fail.
package attempt
