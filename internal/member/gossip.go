package member

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// queuedRecord is a record that still has to be sent a number of times.
type queuedRecord struct {
	key    string
	record Record
	size   int
	transmitsLeft   int
	// urgentLeft is the number of urgent messages that still carry the record.
	urgentLeft int
}

// enqueue has the record ride on the next messages, in place of an earlier one about the same subject.
func (mb *Member) enqueue(rc Record, urgent bool) {
	key := rc.key()
	mb.queue = slices.DeleteFunc(mb.queue, func(qu *queuedRecord) bool { return qu.key == key })
	item := &queuedRecord{key: key, record: rc, size: rc.size(), transmitsLeft: mb.retransmitLimit()}
	if urgent && mb.settings.urgent {
		item.urgentLeft = urgentRounds
	}
	mb.queue = append(mb.queue, item)
}

// retransmitLimit grows with the logarithm of the number of hosts, as the number of rounds does in which a rumour
// reaches all of them.
func (mb *Member) retransmitLimit() int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(len(mb.ids)+2))))
}

// piggyback adds queued records to the message while it stays within the limit, least often sent first. A receiver that is
// suspect or dead is told so, which lets it refute.
func (mb *Member) piggyback(ms *Message, to chestnutroad.HostID, limit int) {
	room := limit - ms.size()
	if en := mb.hosts[to]; en != nil && en.state != Alive {
		record := en.record()
		ms.Records = append(ms.Records, record)
		room -= record.size()
	}
	slices.SortStableFunc(mb.queue, func(one, two *queuedRecord) int { return two.transmitsLeft - one.transmitsLeft })
	for _, qu := range mb.queue {
		if qu.size > room {
			continue
		}
		room -= qu.size
		qu.transmitsLeft--
		ms.Records = append(ms.Records, qu.record)
	}
	mb.dropTransmitted()
}

func (mb *Member) dropTransmitted() {
	mb.queue = slices.DeleteFunc(mb.queue, func(qu *queuedRecord) bool { return qu.transmitsLeft <= 0 && qu.urgentLeft <= 0 })
}

// sendUrgent passes urgent records on to random hosts, without waiting for the next probe.
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
	message := mb.message(Gossip, 0)
	mb.addUrgentRecords(&message)
	for _, id := range ids {
		sends = append(sends, Send{To: mb.hosts[id].Host, Priority: urgentPriority(message.Records), Message: message})
	}
	return sends
}

func (mb *Member) addUrgentRecords(ms *Message) {
	room := urgentBytes - ms.size()
	for _, qu := range mb.queue {
		if qu.urgentLeft <= 0 || qu.size > room {
			continue
		}
		room -= qu.size
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

// successors returns the live hosts that follow the member's own id in order.
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
