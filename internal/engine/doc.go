// Package engine is the client for model engines. It relays chats over HTTP/2 with pings, polls load reports and cache events,
// and sends orders.
package engine
