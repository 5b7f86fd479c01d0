// Package member decides which hosts are alive, who owns a shard, and which control messages fit the budget.
//
// Hosts find failures by probing one another in the manner of SWIM: a direct probe, then indirect ones through other
// hosts, then a suspicion that the accused host can refute with a higher incarnation. Facts spread as records on the
// probes. Digests of the records in each probe find what a host missed, so that views agree after lost datagrams.
//
// Bounds without loss, by simulation and asserted in tests: views of up to 21 hosts agree within 30 s of the last fault,
// a host that leaves is known as leaving by 340 hosts within 3 s, and a running host that others reach is not held dead
// for longer than 15 s under a loss of 25%. A stopped host is held dead within 30 s. When dozens of hosts vanish at once
// the budget stretches this: each member verifies two suspicions a second that it has from others.
//
// The package is pure: the time and the random source are arguments, and what to send comes back as values.
package member
