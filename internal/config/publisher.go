package config

import (
	"fmt"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// PublishState is the state of a publish.
type PublishState int

// The states of a publish.
const (
	// PublishPending means that no verdict has been read yet.
	PublishPending PublishState = iota
	// PublishAccepted means that the configuration was accepted.
	PublishAccepted
	// PublishRefused means that this publish has not put the configuration in force and never will.
	PublishRefused
	// PublishUnknown means that the configuration may have been accepted or may still be accepted.
	PublishUnknown
)

// PublishResult is the result of a publish, for the operator.
type PublishResult struct {
	State   PublishState
	Version chestnutroad.Version
	Reason  Reason
	Message string
	// Diff holds the lines that differ between the configuration in force and the proposed one. It is set for ReasonParent, when
	// another publish was accepted first.
	Diff string
}

// Publisher tracks one publish of a configuration, whose record is appended to the log at most once.
type Publisher struct {
	reader   *Reader
	id       record.PublishID
	body     []byte
	deadline time.Time
	result   PublishResult
}

// Publish proposes a body as the successor of the parent, which is the version that the operator edited. It returns the
// record to append, or nil if the publish is already decided. If the result is unknown, the operator can publish again with the same
// id and parent: at most one of the records is accepted.
func (rd *Reader) Publish(
	now time.Time, id record.PublishID, parent chestnutroad.Version, body []byte,
) (*Publisher, []byte) {
	pb := &Publisher{reader: rd, id: id, body: body, deadline: now.Add(rd.opts.publishTimeout)}
	if !rd.Ready() {
		pb.refuse(ReasonNotReady, "the host has not read the configuration stream yet")
		return pb, nil
	}
	proposal := record.Config{PublishID: id, Parent: parent, Version: parent + 1, Body: body}
	if reason, message := validate(&proposal, rd.inForce.Version, rd.state.check); reason != ReasonNone {
		pb.settleUnappended(proposal.Version, reason, message)
		return pb, nil
	}
	return pb, record.EncodeConfig(proposal)
}

// settleUnappended decides a publish whose proposal is invalid and is not appended. It was accepted if an earlier record with the
// same id was, and the result is unknown if the proposed version is too old for that to be checked.
func (pb *Publisher) settleUnappended(version chestnutroad.Version, reason Reason, message string) {
	id, found := pb.reader.state.publishID(version)
	switch {
	case found && id == pb.id:
		pb.result = PublishResult{State: PublishAccepted, Version: version}
	case reason == ReasonParent && !found && version <= pb.reader.inForce.Version:
		pb.result = PublishResult{State: PublishUnknown, Message: fmt.Sprintf(
			"version %d is too old to know which publish it came from; compare the configuration in force", version,
		)}
	default:
		pb.refuse(reason, message)
	}
}

// Result returns the current result of the publish.
func (pb *Publisher) Result() PublishResult { return pb.result }

// ObserveAppend records the outcome of the append. An unknown outcome is resolved by the verdicts that follow, never by a second
// append.
func (pb *Publisher) ObserveAppend(outcome record.AppendOutcome) PublishResult {
	if pb.result.State == PublishPending && outcome == record.AppendFailed {
		pb.refuse(ReasonLog, "the platform's log did not add the record; nothing was changed")
	}
	return pb.result
}

// ObserveVerdicts updates the result with verdicts of the reader. A verdict after the timeout still decides an unknown result.
func (pb *Publisher) ObserveVerdicts(verdicts []Verdict) PublishResult {
	for _, verdict := range verdicts {
		if verdict.PublishID == pb.id && pb.undecided() {
			pb.settle(verdict)
		}
	}
	// A reader that loaded a snapshot returns no verdicts on the records that the snapshot covers.
	if inForce := pb.reader.inForce; inForce.PublishID == pb.id && pb.undecided() {
		pb.result = PublishResult{State: PublishAccepted, Version: inForce.Version}
	}
	return pb.result
}

// Tick makes a pending publish unknown when its timeout has passed.
func (pb *Publisher) Tick(now time.Time) PublishResult {
	if pb.result.State == PublishPending && !now.Before(pb.deadline) {
		pb.result.State = PublishUnknown
		pb.result.Message = fmt.Sprintf("no verdict on publish %s has been read; publish again with the same id", pb.id)
	}
	return pb.result
}

// undecided reports whether a verdict can still change the result.
func (pb *Publisher) undecided() bool {
	return pb.result.State == PublishPending || pb.result.State == PublishUnknown
}

// settle decides the publish by a verdict on one of its records. The log may contain the record twice, and the reader may have
// missed that the first copy was accepted, so that it sees only the refusal of the second one. A refusal with ReasonParent
// therefore leaves the publish undecided if the publish id of its version is not known.
func (pb *Publisher) settle(verdict Verdict) {
	id, found := pb.reader.state.publishID(verdict.Version)
	switch {
	case verdict.Accepted, found && id == pb.id:
		pb.result = PublishResult{State: PublishAccepted, Version: verdict.Version}
	case found, verdict.Reason != ReasonParent:
		pb.refuse(verdict.Reason, verdict.Message)
	}
}

// refuse makes the publish refused. For ReasonParent it adds the version in force and the difference from it.
func (pb *Publisher) refuse(reason Reason, message string) {
	pb.result = PublishResult{State: PublishRefused, Reason: reason, Message: message}
	if reason == ReasonParent {
		pb.result.Version = pb.reader.inForce.Version
		pb.result.Diff = DiffLines(pb.reader.inForce.Body, pb.body)
	}
}
