package timeline

import (
	"fmt"

	"github.com/chestnutroad/chestnutroad"
)

// Type is the kind of decision that an event records. An event read from a log line has the line's message as its type.
type Type string

// Event types, written to timelines under these names.
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

// Reference identifies one event among the events of all processes.
type Reference struct {
	Host        chestnutroad.HostID
	Incarnation chestnutroad.Incarnation
	Sequence    uint64
}

// IsZero reports whether the reference is empty, as for an event without a cause.
func (rf Reference) IsZero() bool { return rf == Reference{} }

// String returns the reference as host/incarnation/sequence.
func (rf Reference) String() string {
	return fmt.Sprintf("%s/%d/%d", rf.Host, rf.Incarnation, rf.Sequence)
}

// Event is one decision of a process, written to the timeline as one line of JSON.
type Event struct {
	Time        Stamp
	Host        chestnutroad.HostID
	Incarnation chestnutroad.Incarnation
	// Sequence numbers the events of one incarnation from 1; a gap means that events were dropped.
	Sequence uint64
	Type     Type
	Request  chestnutroad.RequestID `json:",omitzero"`
	Target   chestnutroad.TargetID  `json:",omitzero"`
	// Shard has the form site/service/data centre.
	Shard   string               `json:",omitzero"`
	Version chestnutroad.Version `json:",omitzero"`
	// Cause refers to the event that led to this one, on this or another host.
	Cause  Reference `json:",omitzero"`
	Detail string    `json:",omitzero"`
}

// Reference returns the reference that other events use to state this one as their cause.
func (ev Event) Reference() Reference {
	return Reference{Host: ev.Host, Incarnation: ev.Incarnation, Sequence: ev.Sequence}
}
