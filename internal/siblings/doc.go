// Package siblings transports messages and state between the entry hosts of an installation: datagrams for the small
// messages of every tick, and drpc calls for state that is too large for a datagram.
package siblings
