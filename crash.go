package chestnutroad

import "time"

// CrashID identifies the crash of one incarnation of a target in messages between hosts; zero stands for no crash.
type CrashID uint32

// PartEvidence is what a host has observed of a prompt part: an incarnation of a target ended under a request with the part,
// or, with Crash zero, a target answered a request with the part.
type PartEvidence struct {
	Part  PartHash
	Crash CrashID
	// Age is the time since the observation. Hosts exchange ages, as their clocks may differ.
	Age time.Duration
}
