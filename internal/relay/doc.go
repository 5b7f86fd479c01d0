// Package relay decides which host of a data centre reads the store for the others, and sums the hosts' loads.
//
// In each data centre the first live host of a common order relays: it reads the store, gathers the counts of its data
// centre, trades sums with the relays of the other data centres, and tells its own hosts the versions and the sums. A
// host that hears no relay reads the store itself, so that a relay's death costs nothing but calls. The package is pure.
package relay
