// Package callerconn accepts HTTP connections of callers and closes idle ones without losing a request whose head arrives on them.
package callerconn
