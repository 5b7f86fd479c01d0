// Package demo runs a small site in one process: stand-ins for the platform and the targets, several hosts on loopback
// addresses, and a load of chats and orders during which one engine fails.
package demo
