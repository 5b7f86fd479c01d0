package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// probe is a ping that waits for its answer.
type probe struct {
	host   chestnutroad.HostID
	deadline time.Time
	// verify is true for a probe of a host that is already suspect or dead. It is direct only and carries no digest,
	// because a host that many hold dead is verified by all of them at once.
	verify   bool
	indirect bool
}

// relay is a ping on behalf of another host.
type relay struct {
	origin   Host
	sequence uint64
	host   chestnutroad.HostID
	deadline time.Time
}

// startProbe pings the next host of the own data centre, and every fifth time one of another data centre as well.
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
	if remote, any := mb.nextProbeHost(rnd, &mb.remoteOrder, false); any {
		sends = append(sends, mb.ping(now, remote, false))
	}
	return sends
}

// nextProbeHost walks a random permutation of the hosts, so that each one is probed once in each round.
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
	rnd.Shuffle(len(ids), func(one, two int) { ids[one], ids[two] = ids[two], ids[one] })
	return ids
}

func (mb *Member) ping(now time.Time, en *hostEntry, verify bool) Send {
	mb.sequence++
	mb.probes[mb.sequence] = &probe{host: en.ID, deadline: now.Add(probeTimeout), verify: verify}
	message := mb.message(Ping, mb.sequence)
	limit := verifyBytes
	if !verify {
		message.Digest = mb.digestBytes()
		limit = gossipBytes
	}
	mb.piggyback(&message, en.ID, limit)
	return Send{To: en.Host, Priority: PriorityProbe, Message: message}
}

func (mb *Member) message(kind MessageType, sequence uint64) Message {
	return Message{Type: kind, Sequence: sequence, From: mb.self, FromLeaving: mb.leaving}
}

// expireProbes sends indirect probes after unanswered direct ones and raises suspicions after both.
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

// pingIndirectly asks other hosts to probe the target: first one of the target's data centre, then one elsewhere and
// preferably in a third data centre, so that a cut between two of them does not hide a host that the third one reaches.
func (mb *Member) pingIndirectly(rnd *rand.Rand, sequence uint64, target *hostEntry, sends []Send) []Send {
	near := mb.shuffled(rnd, func(en *hostEntry) bool {
		return en.state == Alive && en.ID != target.ID && en.DataCentre == target.DataCentre
	})
	far := mb.shuffled(rnd, func(en *hostEntry) bool {
		return en.state == Alive && en.DataCentre != target.DataCentre
	})
	slices.SortStableFunc(far, func(one, two chestnutroad.HostID) int {
		return mb.distance(one) - mb.distance(two)
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
		message := mb.message(PingReq, sequence)
		message.Subject = target.Host
		mb.piggyback(&message, via.ID, relayBytes)
		sends = append(sends, Send{To: via.Host, Priority: PriorityProbe, Message: message})
	}
	return sends
}

// distance is 0 for a host of another data centre and 1 for one of the member's own.
func (mb *Member) distance(id chestnutroad.HostID) int {
	if mb.hosts[id].DataCentre == mb.self.DataCentre {
		return 1
	}
	return 0
}

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
		// Another host may still hold the dead host alive; it verifies in turn when it hears this.
		en.lastFailedAt = now
		if verify && en.Incarnation > 0 {
			mb.enqueue(en.record(), false)
		}
	}
}

// HandleDropped takes back a message that the budget dropped: a probe that was not sent is no evidence against its target.
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

// startJoin probes a few hosts at the start, and more of them while the records of others differ in many buckets.
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

// startRejoin probes a dead host now and then, so that the sides of a healed partition find each other.
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
