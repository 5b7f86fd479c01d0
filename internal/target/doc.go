// Package target contains the code that the clients of engines and of plain services share: connections that record
// whether a byte of a call was written, request and response headers, and the classification of failed calls.
package target
