package member

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Receive applies a message from an authenticated host and returns the messages to send in answer. It ignores a message
// whose sender is not the authenticated host, or is the member's own host.
func (mb *Member) Receive(now time.Time, from chestnutroad.HostID, ms Message) []Send {
	if from != ms.From.ID || from == mb.self.ID {
		return nil
	}
	mb.advanceTo(now)
	mb.applySender(now, &ms)
	if ms.Subject.ID != "" && ms.Type == Ack {
		mb.applyHost(now, &Record{Kind: RecordHost, Host: ms.Subject})
	}
	for index := range ms.Records {
		mb.apply(now, &ms.Records[index])
	}
	switch ms.Type {
	case Ping:
		return []Send{mb.answerPing(&ms)}
	case PingReq:
		return mb.relayPing(now, &ms)
	case Ack:
		return mb.receiveAck(&ms)
	default:
		return nil
	}
}

// applySender applies the sender's own record. A message alone does not end a suspicion, because other members may
// suspect the sender too: it has to learn of the suspicion and refute it with a higher incarnation. The Ack to a Ping
// tells it; after any other message a probe does.
func (mb *Member) applySender(now time.Time, ms *Message) {
	mb.applyHost(now, &Record{Kind: RecordHost, Host: ms.From, Leaving: ms.FromLeaving})
	en := mb.hosts[ms.From.ID]
	switch {
	case en == nil:
	case en.state == Suspect && en.verifyAt.IsZero() && ms.Type != Ping:
		en.verifyAt = now
	case en.state == Dead && ms.Type != Ping:
		mb.scheduleRecheck(now, en, true)
	}
}

func (mb *Member) apply(now time.Time, rc *Record) {
	switch rc.Kind {
	case RecordHost:
		mb.applyHost(now, rc)
	case RecordLeaving:
		mb.applyMachine(now, rc)
	case RecordEpoch:
		mb.ObserveEpoch(rc.Shard, rc.Epoch)
	case RecordVersion:
		mb.ObserveVersion(rc.Version, rc.Offset)
	}
}

func (mb *Member) applyHost(now time.Time, rc *Record) {
	if rc.Host.ID == mb.self.ID {
		mb.refute(rc)
		return
	}
	en, found := mb.hosts[rc.Host.ID]
	switch {
	case !found && rc.State == Dead:
	case !found:
		en = mb.add(now, rc.Host)
		mb.applyNewer(now, en, rc)
	case rc.Incarnation() > en.Incarnation:
		mb.applyNewer(now, en, rc)
	case rc.Incarnation() == en.Incarnation:
		mb.applyEqual(now, en, rc)
	}
}

// applyNewer applies a record of a higher incarnation. A record of a death only raises a suspicion here, so that a host
// is not declared dead because a single other member can't reach it.
func (mb *Member) applyNewer(now time.Time, en *hostEntry, rc *Record) {
	leaving := rc.Leaving && !en.leaving
	dead := en.state == Dead
	en.Host = rc.Host
	en.leaving = rc.Leaving
	switch {
	case rc.State == Alive:
		mb.markAlive(now, en)
	case rc.State == Dead && dead:
	default:
		mb.suspect(now, en, false)
		mb.confirmSuspicion(now, en, rc.State == Dead)
		return
	}
	mb.entryChanged(en)
	mb.enqueue(en.record(), leaving)
}

// applyEqual merges a record of the same incarnation. Leaving can't be undone within an incarnation, and a suspicion wins
// over Alive unless the host's incarnation is still unknown (zero). A record that a dead host is alive only schedules a
// probe of it.
func (mb *Member) applyEqual(now time.Time, en *hostEntry, rc *Record) {
	if rc.Leaving && !en.leaving {
		en.leaving = true
		mb.entryChanged(en)
		mb.enqueue(en.record(), true)
	}
	switch {
	case en.state == Alive && rc.State != Alive && en.Incarnation > 0:
		mb.suspect(now, en, false)
		mb.confirmSuspicion(now, en, rc.State == Dead)
	case en.state == Suspect:
		mb.confirmSuspicion(now, en, rc.State == Dead)
	case en.state == Dead && rc.State == Alive:
		mb.scheduleRecheck(now, en, false)
	}
}

// answerPing returns the Ack to a probe. It carries records of the buckets in which the sender's digest differs.
func (mb *Member) answerPing(ms *Message) Send {
	message := mb.newMessage(Ack, ms.Sequence)
	message.Want = mb.differingBuckets(ms.Digest)
	limit := gossipBytes
	if len(ms.Digest) == 0 {
		limit = verifyBytes
	}
	mb.piggyback(&message, ms.From.ID, limit)
	mb.addBucketRecords(&message, message.Want)
	return Send{To: ms.From, Priority: PriorityProbe, Message: message}
}

// relayPing pings the subject of a PingReq on behalf of the sender, unless the subject is the member itself.
func (mb *Member) relayPing(now time.Time, ms *Message) []Send {
	if ms.Subject.ID == "" || ms.Subject.ID == mb.self.ID {
		return nil
	}
	mb.sequence++
	mb.relays[mb.sequence] = relay{
		origin:   ms.From,
		sequence: ms.Sequence,
		host:     ms.Subject.ID,
		deadline: now.Add(2 * probeTimeout),
	}
	message := mb.newMessage(Ping, mb.sequence)
	mb.piggyback(&message, ms.Subject.ID, relayBytes)
	return []Send{{To: ms.Subject, Priority: PriorityProbe, Message: message}}
}

// receiveAck ends the probe that the Ack answers, passes it on if the ping was relayed, and sends the records of the
// buckets that the Ack asks for.
func (mb *Member) receiveAck(ms *Message) []Send {
	var sends []Send
	if rl, found := mb.relays[ms.Sequence]; found && rl.host == ms.From.ID {
		delete(mb.relays, ms.Sequence)
		message := mb.newMessage(Ack, rl.sequence)
		message.Subject = ms.From
		sends = append(sends, Send{To: rl.origin, Priority: PriorityProbe, Message: message})
	}
	if pr, found := mb.probes[ms.Sequence]; found && (pr.host == ms.From.ID || pr.host == ms.Subject.ID) {
		delete(mb.probes, ms.Sequence)
		if en := mb.hosts[pr.host]; en != nil && pr.verify {
			en.verifyPending = false
		}
	}
	if ms.Want == 0 {
		return sends
	}
	mb.outOfSync = mb.outOfSync || isOutOfSync(ms.Want)
	message := mb.newMessage(Sync, ms.Sequence)
	mb.addBucketRecords(&message, ms.Want)
	if len(message.Records) == 0 {
		return sends
	}
	return append(sends, Send{To: ms.From, Priority: PriorityMembership, Message: message})
}
