// Package caller serves HTTP to the teams' clients: a chain of filters authenticates, parses and limits each request and
// passes it on to a forwarder.
package caller
