// Package load sends returning chats and orders to entry hosts, checks the answers and measures the times.
package load
