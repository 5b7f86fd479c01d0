// Package peer speaks to the other hosts of the site: drpc for requests and state, datagrams for control messages.
//
// Control messages leave through one Sender, which signs and counts them and holds them to the control budget. drpc
// connections carry one stream at a time, so each peer has a bounded pool of them. A handshake authenticates both sides
// of a connection by the cluster key.
package peer
