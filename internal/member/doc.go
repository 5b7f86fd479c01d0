// Package member decides which hosts are alive, who owns a shard, and which control messages fit the budget.
//
// Hosts find failures by probing one another in the manner of SWIM: a direct probe, then indirect ones through other
// hosts, then a suspicion that the accused host can refute with a higher incarnation. Facts spread as records on the
// probes. Digests of the records in each probe find what a host missed, so that views agree after lost datagrams.
//
// The package is pure: the time and the random source are arguments, and what to send comes back as values.
package member
