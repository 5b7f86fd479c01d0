// Package engine is the client of model engines: chats over HTTP/2 with pings, load reports, cache events and orders.
package engine
