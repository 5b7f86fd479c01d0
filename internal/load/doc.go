// Package load generates load: it sends turns of chats and orders to entry hosts at a fixed rate, checks the answers and
// measures latencies.
package load
