// Package entry runs a host that takes callers' requests, chooses their targets and passes the answers on. It keeps
// nothing: what it knows comes from the platform's store, other hosts and the answers that it saw.
package entry
