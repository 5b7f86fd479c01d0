// Package warmup decides until when targets are cold, from which source that is known, and how many requests a second a cold target
// may get. It has no network and no clock of its own.
package warmup
