// Package peer implements the communication between the hosts of a site: drpc carries requests and state, datagrams
// carry control messages.
//
// All control messages are sent by one Sender, which authenticates and counts them and enforces the control budget. A
// drpc connection carries one stream at a time, so a Client has a bounded pool of connections to each peer. A handshake
// authenticates both sides of a connection by the cluster key.
package peer
