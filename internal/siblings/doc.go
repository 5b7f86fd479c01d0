// Package siblings carries messages and state between the entry hosts of an installation: datagrams for what is sent
// all the time and drpc calls for what is large.
package siblings
