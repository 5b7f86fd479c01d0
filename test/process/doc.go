// Package process holds tests that run the fleet, the log, the host list and the targets as processes of their own.
package process
