package timeline

import (
	"fmt"

	"github.com/chestnutroad/chestnutroad"
)

// Type says what an event records.
type Type string

// The types of events.
const (
	Started        Type = "Started"
	Stopped        Type = "Stopped"
	Draining       Type = "Draining"
	Received       Type = "Received"
	Forwarded      Type = "Forwarded"
	Redirected     Type = "Redirected"
	Queued         Type = "Queued"
	Placed         Type = "Placed"
	Refused        Type = "Refused"
	Moved          Type = "Moved"
	Resumed        Type = "Resumed"
	Retried        Type = "Retried"
	Answered       Type = "Answered"
	Claimed        Type = "Claimed"
	OutcomeWritten Type = "OutcomeWritten"
	Released       Type = "Released"
	MemberChanged  Type = "MemberChanged"
	OwnerChanged   Type = "OwnerChanged"
	TargetChanged  Type = "TargetChanged"
	ConfigSeen     Type = "ConfigSeen"
	ConfigAccepted Type = "ConfigAccepted"
	ConfigRejected Type = "ConfigRejected"
	SnapshotTaken  Type = "SnapshotTaken"
	EngineOrdered  Type = "EngineOrdered"
)

// Reference names one event.
type Reference struct {
	Host        chestnutroad.HostID
	Incarnation chestnutroad.Incarnation
	Sequence    uint64
}

// IsZero reports whether the reference names no event.
func (rf Reference) IsZero() bool { return rf == Reference{} }

// String returns the reference as host/incarnation/sequence.
func (rf Reference) String() string {
	return fmt.Sprintf("%s/%d/%d", rf.Host, rf.Incarnation, rf.Sequence)
}

// Event is one decision of a process.
type Event struct {
	Time        Stamp
	Host        chestnutroad.HostID
	Incarnation chestnutroad.Incarnation
	// Sequence counts the events of one incarnation from 1; a gap shows dropped events.
	Sequence uint64
	Type     Type
	Request  chestnutroad.RequestID `json:",omitzero"`
	Target   chestnutroad.TargetID  `json:",omitzero"`
	// Shard is written as site/service/data centre.
	Shard   string               `json:",omitzero"`
	Version chestnutroad.Version `json:",omitzero"`
	// Cause names the event that led to this one, on this host or another one.
	Cause  Reference `json:",omitzero"`
	Detail string    `json:",omitzero"`
}

// Reference returns the name of the event.
func (ev Event) Reference() Reference {
	return Reference{Host: ev.Host, Incarnation: ev.Incarnation, Sequence: ev.Sequence}
}
