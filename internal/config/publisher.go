package config

import (
	"fmt"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// PublishState says how far a publish is.
type PublishState int

// The states of a publish.
const (
	PublishPending PublishState = iota
	// PublishAccepted means that the configuration is in force.
	PublishAccepted
	// PublishRefused means that the configuration is not in force and never will be by this publish.
	PublishRefused
	// PublishUnknown means that the configuration may have been accepted or may still be.
	PublishUnknown
)

// PublishResult is the answer to an operator.
type PublishResult struct {
	State   PublishState
	Version chestnutroad.Version
	Reason  Reason
	Message string
	// Diff shows, after a lost race, the lines that differ between the configuration in force and the proposed one.
	Diff string
}

// Publisher takes one configuration through the log. Its record is appended at most once.
type Publisher struct {
	reader   *Reader
	id       record.PublishID
	body     []byte
	deadline time.Time
	result   PublishResult
}

// Publish proposes a body as the successor of the parent, which is the version that the operator edited. It returns the
// record to append, or none when the result is already known. To ask for an unknown result, publish again with the same
// id: the parent rule lets only one of the records take effect.
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

// settleUnappended refuses a proposal that was not appended now. The same publish may have been accepted earlier.
func (pb *Publisher) settleUnappended(version chestnutroad.Version, reason Reason, message string) {
	id, known := pb.reader.state.publishID(version)
	switch {
	case known && id == pb.id:
		pb.result = PublishResult{State: PublishAccepted, Version: version}
	case reason == ReasonParent && !known && version <= pb.reader.inForce.Version:
		pb.result = PublishResult{State: PublishUnknown, Message: fmt.Sprintf(
			"version %d is too old to know who published it; compare the configuration in force", version,
		)}
	default:
		pb.refuse(reason, message)
	}
}

// Result returns the state of the publish.
func (pb *Publisher) Result() PublishResult { return pb.result }

// ObserveAppend takes what is known of the append. An unknown one is settled by reading, never by a second append.
func (pb *Publisher) ObserveAppend(result record.AppendOutcome) PublishResult {
	if pb.result.State == PublishPending && result == record.AppendFailed {
		pb.refuse(ReasonLog, "the platform's log did not take the record; nothing was changed")
	}
	return pb.result
}

// ObserveVerdicts takes the verdicts of the reader. A verdict that comes after the timeout still settles an unknown result.
func (pb *Publisher) ObserveVerdicts(verdicts []Verdict) PublishResult {
	for _, verdict := range verdicts {
		if verdict.PublishID == pb.id && pb.undecided() {
			pb.settle(verdict)
		}
	}
	// A reader that took a snapshot as base has no verdicts on what it covers.
	if inForce := pb.reader.inForce; inForce.PublishID == pb.id && pb.undecided() {
		pb.result = PublishResult{State: PublishAccepted, Version: inForce.Version}
	}
	return pb.result
}

// Tick ends the wait for a verdict when it takes too long.
func (pb *Publisher) Tick(now time.Time) PublishResult {
	if pb.result.State == PublishPending && !now.Before(pb.deadline) {
		pb.result.State = PublishUnknown
		pb.result.Message = fmt.Sprintf("no verdict on publish %s has been read; ask again with the same id", pb.id)
	}
	return pb.result
}

func (pb *Publisher) undecided() bool {
	return pb.result.State == PublishPending || pb.result.State == PublishUnknown
}

// settle settles the publish by a verdict on its record. The log may have the record twice, and the reader may have
// missed that the first copy was accepted; the second one then loses against the first.
func (pb *Publisher) settle(verdict Verdict) {
	id, known := pb.reader.state.publishID(verdict.Version)
	switch {
	case verdict.Accepted, known && id == pb.id:
		pb.result = PublishResult{State: PublishAccepted, Version: verdict.Version}
	case known, verdict.Reason != ReasonParent:
		pb.refuse(verdict.Reason, verdict.Message)
	}
}

func (pb *Publisher) refuse(reason Reason, message string) {
	pb.result = PublishResult{State: PublishRefused, Reason: reason, Message: message}
	if reason == ReasonParent {
		pb.result.Version = pb.reader.inForce.Version
		pb.result.Diff = DiffLines(pb.reader.inForce.Body, pb.body)
	}
}
