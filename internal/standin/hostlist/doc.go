// Package hostlist is a stand-in for the platform's list of live and leaving machines, which lags.
package hostlist
