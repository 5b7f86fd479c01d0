package chestnutroad

import "time"

// CrashID identifies the crash of one incarnation of a target in messages between hosts; zero stands for no crash.
type CrashID uint32

// SubjectHash identifies a subject of crash evidence in messages between hosts: a whole request, which has an odd hash, or a prompt
// part, which has an even one.
type SubjectHash uint64

// Whole reports whether the subject is a whole request.
func (sh SubjectHash) Whole() bool { return sh&1 == 1 }

// PartSubject returns the hash of a prompt part as a subject.
func PartSubject(id string) SubjectHash { return SubjectHash(HashID(id)) &^ 1 }

// CrashEvidence is what a host has observed of a subject: an incarnation of a target ended under a request with the subject, or,
// with Crash zero, a target answered a request with it.
type CrashEvidence struct {
	Subject SubjectHash
	Crash   CrashID
	// Age is the time since the observation. Hosts exchange ages, as their clocks may differ.
	Age time.Duration
}
