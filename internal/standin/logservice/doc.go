// Package logservice is a stand-in for the platform's append-only log. It is used directly in memory or served over HTTP.
package logservice
