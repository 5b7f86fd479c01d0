// Package logservice is a stand-in for the platform's append-only log: in memory, or served over HTTP.
package logservice
