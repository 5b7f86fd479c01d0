// Package demo runs a small site in one process: stand-ins for the platform and the targets, several hosts on loopback,
// and callers whose chats return while an engine dies.
package demo
