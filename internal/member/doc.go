// Package member implements failure detection, shard ownership and the send budget of control messages.
//
// Failure detection follows SWIM: a direct probe, then indirect probes through other hosts, then a suspicion that the
// suspected host can refute with a higher incarnation. Records about hosts, machines, shard epochs and the configuration
// version piggyback on the probes. Each probe carries a digest of the sender's records, so that hosts repair what they
// missed through lost datagrams.
//
// Bounds without loss, asserted by simulation in the tests: the views of up to 21 hosts agree within 30 s of the last
// fault, 340 hosts see within 3 s that a host is leaving, and a stopped host is declared dead within 30 s. Under a loss of
// 25%, a running host that others reach is not considered dead for longer than 15 s. The failure of dozens of hosts at
// once takes longer to detect, because the budget limits each member to two verification probes a second.
//
// The package does no I/O: the time and the random source are arguments, and the messages to send are return values.
package member
