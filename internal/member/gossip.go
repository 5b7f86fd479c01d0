package member

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// queuedRecord is a record in the gossip queue.
type queuedRecord struct {
	key    string
	record Record
	size   int
	// transmitsLeft is how often the record still has to piggyback on probes and their answers.
	transmitsLeft int
	// urgentLeft is the number of rounds of urgent messages that still have to carry the record.
	urgentLeft int
}

// enqueue adds the record to the gossip queue and removes an earlier record about the same subject.
func (mb *Member) enqueue(rc Record, urgent bool) {
	key := rc.key()
	mb.queue = slices.DeleteFunc(mb.queue, func(qu *queuedRecord) bool { return qu.key == key })
	item := &queuedRecord{key: key, record: rc, size: rc.size(), transmitsLeft: mb.retransmitLimit()}
	if urgent && mb.settings.urgent {
		item.urgentLeft = urgentRounds
	}
	mb.queue = append(mb.queue, item)
}

// retransmitLimit returns how often a record is sent. It grows with the logarithm of the number of hosts, as does the
// number of gossip rounds in which a record reaches all of them.
func (mb *Member) retransmitLimit() int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(len(mb.ids)+2))))
}

// piggyback adds queued records to the message up to the limit in bytes, least often sent first. The record of a receiver
// that is suspect or dead always goes along, so that it can refute.
func (mb *Member) piggyback(ms *Message, to chestnutroad.HostID, limit int) {
	remaining := limit - ms.size()
	if en := mb.hosts[to]; en != nil && en.state != Alive {
		record := en.record()
		ms.Records = append(ms.Records, record)
		remaining -= record.size()
	}
	slices.SortStableFunc(mb.queue, func(a, b *queuedRecord) int { return b.transmitsLeft - a.transmitsLeft })
	for _, qu := range mb.queue {
		if qu.size > remaining {
			continue
		}
		remaining -= qu.size
		qu.transmitsLeft--
		ms.Records = append(ms.Records, qu.record)
	}
	mb.dropTransmitted()
}

func (mb *Member) dropTransmitted() {
	mb.queue = slices.DeleteFunc(mb.queue, func(qu *queuedRecord) bool { return qu.transmitsLeft <= 0 && qu.urgentLeft <= 0 })
}

// sendUrgent sends urgent records to random hosts every urgentInterval, without waiting for the next probe.
func (mb *Member) sendUrgent(now time.Time, rnd *rand.Rand, sends []Send) []Send {
	if now.Before(mb.nextUrgent) || !mb.hasUrgent() {
		return sends
	}
	return mb.sendUrgentTo(now, mb.sample(rnd, urgentFanOut), sends)
}

// sample returns up to count random hosts that aren't dead.
func (mb *Member) sample(rnd *rand.Rand, count int) []chestnutroad.HostID {
	if len(mb.ids) <= 2*count {
		ids := mb.shuffled(rnd, func(en *hostEntry) bool { return en.state != Dead })
		return ids[:min(count, len(ids))]
	}
	var ids []chestnutroad.HostID
	for tries := 0; len(ids) < count && tries < 4*count; tries++ {
		id := mb.ids[rnd.IntN(len(mb.ids))]
		if mb.hosts[id].state != Dead && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (mb *Member) hasUrgent() bool {
	return slices.ContainsFunc(mb.queue, func(qu *queuedRecord) bool { return qu.urgentLeft > 0 })
}

func (mb *Member) sendUrgentTo(now time.Time, ids []chestnutroad.HostID, sends []Send) []Send {
	ids = ids[:min(len(ids), int(mb.urgentTokens))]
	if !mb.settings.urgent || len(ids) == 0 {
		return sends
	}
	mb.urgentTokens -= float64(len(ids))
	mb.nextUrgent = now.Add(urgentInterval)
	message := mb.newMessage(Gossip, 0)
	mb.addUrgentRecords(&message)
	for _, id := range ids {
		sends = append(sends, Send{To: mb.hosts[id].Host, Priority: urgentPriority(message.Records), Message: message})
	}
	return sends
}

func (mb *Member) addUrgentRecords(ms *Message) {
	remaining := urgentBytes - ms.size()
	for _, qu := range mb.queue {
		if qu.urgentLeft <= 0 || qu.size > remaining {
			continue
		}
		remaining -= qu.size
		qu.urgentLeft--
		ms.Records = append(ms.Records, qu.record)
	}
	mb.dropTransmitted()
}

// urgentPriority returns the highest priority among the records.
func urgentPriority(records []Record) Priority {
	priority := PriorityVersion
	for index := range records {
		switch records[index].Kind {
		case RecordHost, RecordLeaving:
			return PriorityMembership
		case RecordEpoch:
			priority = PriorityEpoch
		default:
		}
	}
	return priority
}

// successors returns up to count hosts that aren't dead and follow the member's own id in the circular order of ids.
func (mb *Member) successors(count int) []chestnutroad.HostID {
	var ids []chestnutroad.HostID
	start, _ := slices.BinarySearch(mb.ids, mb.self.ID)
	for step := range mb.ids {
		id := mb.ids[(start+step)%len(mb.ids)]
		if mb.hosts[id].state != Dead {
			ids = append(ids, id)
		}
		if len(ids) == count {
			break
		}
	}
	return ids
}
