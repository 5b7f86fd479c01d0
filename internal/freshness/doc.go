// Package freshness decides when a host that relies on the store reads of its relay reads the store itself.
//
// A relay states in its beacons how long ago it last read each stream of the store. A host thus knows how old its own copy can
// be, through whatever host it got it and however that host fails: stopped, killed, frozen or cut off. Only the age of the
// sender's own reads is stated, never one that it learned from another host, so that hosts can't confirm each other. The package
// does no input or output and never reads the clock.
package freshness
