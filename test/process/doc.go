// Package process tests a fleet whose routers, log, host list and targets run as separate processes.
package process
