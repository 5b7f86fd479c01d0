package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// probe is a probe by this member that has not been answered yet.
type probe struct {
	host     chestnutroad.HostID
	deadline time.Time
	// verify is true for a verification probe, whose host is already suspect or dead. It is direct only and carries no
	// digest, because a host that many members consider dead is verified by all of them at once.
	verify bool
	// indirect is true once other hosts have been asked to probe the host.
	indirect bool
}

// relay is a ping that this member sent on behalf of another host; sequence is the one of that host's PingReq.
type relay struct {
	origin   Host
	sequence uint64
	host     chestnutroad.HostID
	deadline time.Time
}

// startProbe pings the next host of the member's own data centre, and every remoteProbeEvery-th time also one of another
// data centre. A member that is alone in its data centre pings a remote host each time.
func (mb *Member) startProbe(now time.Time, rnd *rand.Rand, sends []Send) []Send {
	if mb.nextProbe.IsZero() {
		phase := time.Duration(rnd.Int64N(int64(mb.settings.probeInterval)))
		mb.nextProbe = now.Add(phase)
	}
	if now.Before(mb.nextProbe) {
		return sends
	}
	mb.nextProbe = mb.nextProbe.Add(mb.settings.probeInterval)
	if mb.nextProbe.Before(now) {
		mb.nextProbe = now.Add(mb.settings.probeInterval)
	}
	mb.probeCount++
	local, found := mb.nextProbeHost(rnd, &mb.localOrder, true)
	if found {
		sends = append(sends, mb.ping(now, local, false))
	}
	if found && mb.probeCount%remoteProbeEvery != 0 {
		return sends
	}
	if remote, ok := mb.nextProbeHost(rnd, &mb.remoteOrder, false); ok {
		sends = append(sends, mb.ping(now, remote, false))
	}
	return sends
}

// nextProbeHost returns the next host of a random permutation, so that each host is probed once in each round.
func (mb *Member) nextProbeHost(rnd *rand.Rand, order *[]chestnutroad.HostID, local bool) (*hostEntry, bool) {
	for range 2 {
		for len(*order) > 0 {
			en := mb.hosts[(*order)[0]]
			*order = (*order)[1:]
			if en != nil && en.state != Dead && (en.DataCentre == mb.self.DataCentre) == local {
				return en, true
			}
		}
		*order = mb.shuffled(rnd, func(en *hostEntry) bool {
			return en.state != Dead && (en.DataCentre == mb.self.DataCentre) == local
		})
	}
	return nil, false
}

// shuffled returns the ids of the hosts that match, in random order.
func (mb *Member) shuffled(rnd *rand.Rand, match func(*hostEntry) bool) []chestnutroad.HostID {
	var ids []chestnutroad.HostID
	for _, id := range mb.ids {
		if match(mb.hosts[id]) {
			ids = append(ids, id)
		}
	}
	rnd.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	return ids
}

// ping starts a probe of the host.
func (mb *Member) ping(now time.Time, en *hostEntry, verify bool) Send {
	mb.sequence++
	mb.probes[mb.sequence] = &probe{host: en.ID, deadline: now.Add(probeTimeout), verify: verify}
	message := mb.newMessage(Ping, mb.sequence)
	limit := verifyBytes
	if !verify {
		message.Digest = mb.digestBytes()
		limit = gossipBytes
	}
	mb.piggyback(&message, en.ID, limit)
	return Send{To: en.Host, Priority: PriorityProbe, Message: message}
}

func (mb *Member) newMessage(kind MessageType, sequence uint64) Message {
	return Message{Type: kind, Sequence: sequence, From: mb.self, FromLeaving: mb.leaving}
}

// expireProbes follows an unanswered direct probe with indirect ones, and raises a suspicion when those fail as well.
func (mb *Member) expireProbes(now time.Time, rnd *rand.Rand, sends []Send) []Send {
	for _, sequence := range expired(now, mb.probes) {
		pr := mb.probes[sequence]
		en := mb.hosts[pr.host]
		switch {
		case en == nil:
			delete(mb.probes, sequence)
		case !pr.verify && !pr.indirect && mb.settings.indirectProbes > 0:
			pr.indirect = true
			pr.deadline = now.Add(probeTimeout)
			sends = mb.pingIndirectly(rnd, sequence, en, sends)
		default:
			delete(mb.probes, sequence)
			mb.probeFailed(now, en, pr.verify)
		}
	}
	for sequence, rl := range mb.relays {
		if now.After(rl.deadline) {
			delete(mb.relays, sequence)
		}
	}
	return sends
}

// expired returns the sequence numbers of the probes whose deadline has passed, in order.
func expired(now time.Time, probes map[uint64]*probe) []uint64 {
	var sequences []uint64
	for sequence, pr := range probes {
		if !now.Before(pr.deadline) {
			sequences = append(sequences, sequence)
		}
	}
	slices.Sort(sequences)
	return sequences
}

// pingIndirectly asks other hosts to probe the subject: first one of the subject's data centre, then one elsewhere,
// preferably in a third data centre, so that a cut between two data centres does not hide a host that the third one reaches.
func (mb *Member) pingIndirectly(rnd *rand.Rand, sequence uint64, subject *hostEntry, sends []Send) []Send {
	near := mb.shuffled(rnd, func(en *hostEntry) bool {
		return en.state == Alive && en.ID != subject.ID && en.DataCentre == subject.DataCentre
	})
	far := mb.shuffled(rnd, func(en *hostEntry) bool {
		return en.state == Alive && en.DataCentre != subject.DataCentre
	})
	slices.SortStableFunc(far, func(a, b chestnutroad.HostID) int {
		return mb.relayRank(a) - mb.relayRank(b)
	})
	for index := range mb.settings.indirectProbes {
		from, other := &near, &far
		if index%2 == 1 {
			from, other = &far, &near
		}
		if len(*from) == 0 {
			from = other
		}
		if len(*from) == 0 {
			return sends
		}
		via := mb.hosts[(*from)[0]]
		*from = (*from)[1:]
		message := mb.newMessage(PingReq, sequence)
		message.Subject = subject.Host
		mb.piggyback(&message, via.ID, relayBytes)
		sends = append(sends, Send{To: via.Host, Priority: PriorityProbe, Message: message})
	}
	return sends
}

// relayRank is 0 for a host of another data centre and 1 for one of the member's own; the lower rank is asked first.
func (mb *Member) relayRank(id chestnutroad.HostID) int {
	if mb.hosts[id].DataCentre == mb.self.DataCentre {
		return 1
	}
	return 0
}

// probeFailed raises a suspicion of an alive host, and records the failure for a suspect or dead one.
func (mb *Member) probeFailed(now time.Time, en *hostEntry, verify bool) {
	en.verifyPending = en.verifyPending && !verify
	switch en.state {
	case Alive:
		if !verify {
			mb.suspect(now, en, true)
		}
	case Suspect:
		en.verifyFailed = true
		en.detectedLocally = en.detectedLocally || !verify
	default:
		// Another host may still consider the dead host alive; the record makes it verify the host as well.
		en.lastFailedAt = now
		if verify && en.Incarnation > 0 {
			mb.enqueue(en.record(), false)
		}
	}
}

// HandleDropped cancels the probe whose ping the budget dropped: a probe that was not sent is no evidence of a failure.
func (mb *Member) HandleDropped(now time.Time, ms *Message) {
	pr := mb.probes[ms.Sequence]
	if ms.Type != Ping || pr == nil {
		return
	}
	delete(mb.probes, ms.Sequence)
	if en := mb.hosts[pr.host]; pr.verify && en != nil && en.state != Alive {
		en.verifyPending = false
		en.verifyAt = now
	}
}

// startJoin probes up to initialJoinProbes random hosts at the start, and later an additional one at most every
// joinInterval while the records of other hosts differ in many buckets.
func (mb *Member) startJoin(now time.Time, rnd *rand.Rand, sends []Send) []Send {
	count := 1
	if mb.nextJoin.IsZero() {
		count = initialJoinProbes
	} else if !mb.outOfSync || now.Before(mb.nextJoin) {
		return sends
	}
	ids := mb.shuffled(rnd, func(en *hostEntry) bool { return en.state != Dead })
	for _, id := range ids[:min(count, len(ids))] {
		sends = append(sends, mb.ping(now, mb.hosts[id], false))
		mb.nextJoin = now.Add(joinInterval)
	}
	mb.outOfSync = false
	return sends
}

// startRejoin probes a random dead host every rejoinInterval, so that the sides of a healed partition find each other.
func (mb *Member) startRejoin(now time.Time, rnd *rand.Rand, sends []Send) []Send {
	if mb.settings.rejoinInterval <= 0 || now.Before(mb.nextRejoin) {
		return sends
	}
	mb.nextRejoin = now.Add(mb.settings.rejoinInterval)
	var dead []chestnutroad.HostID
	for _, id := range mb.unhealthy {
		if mb.hosts[id].state == Dead {
			dead = append(dead, id)
		}
	}
	if len(dead) == 0 {
		return sends
	}
	return append(sends, mb.ping(now, mb.hosts[dead[rnd.IntN(len(dead))]], true))
}
