// Package caller serves HTTP to the teams' clients. A chain of filters authenticates, parses and limits each request and
// passes it to a forwarder.
package caller
