// Package relay elects the host of a data centre that reads the store for the others, and sums the hosts' loads.
//
// In each data centre the first live host in an order shared by all hosts acts as relay: it reads the store, sums the
// request counts of its data centre, exchanges these sums with the relays of the other data centres, and sends its own hosts
// the versions that it holds and the total counts. A host that receives no beacon of a relay reads the store itself, so the
// failure of a relay costs only additional store calls. The package does no input or output and never reads the clock.
package relay
