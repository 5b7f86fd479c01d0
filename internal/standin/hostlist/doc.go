// Package hostlist is a stand-in for the platform's list of live and leaving hosts. The list can lag behind changes.
package hostlist
