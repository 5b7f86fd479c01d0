// Package target holds what the clients of engines and plain services share: connections that record whether a byte of
// a call was written, request and response headers, and the refusal for each way in which a call fails.
package target
