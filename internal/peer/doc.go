// Package peer speaks to the other hosts of the site: drpc for requests and state, datagrams for control messages.
package peer
