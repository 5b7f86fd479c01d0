package pool

import (
	"bytes"
	"encoding/gob"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// handover is the state that an owner gives its successor.
type handover struct {
	Shard   chestnutroad.ShardID
	Targets []handoverTarget
	// The placement table, the least recently used chat first.
	Chats  []uint64
	Places []uint32 // indexes into Targets
	Cached []uint32
}

type handoverTarget struct {
	ID           chestnutroad.TargetID
	Incarnation  chestnutroad.Incarnation
	Leaving      bool
	SlowStartAge time.Duration // negative when the target has its full weight
	Work         chestnutroad.WorkUnits
	Running      int
}

// Export returns the placement table and the load book, as of the last event, for the shard's next owner.
func (ow *Owner) Export() []byte {
	state := handover{Shard: ow.shard}
	places := map[locationIndex]uint32{}
	for index, tg := range ow.targets {
		places[tg.location] = uint32(index)
		state.Targets = append(state.Targets, ow.exportTarget(ow.lastEvent, tg))
	}
	ow.table.each(func(en tableEntry) {
		place, found := places[en.location]
		if !found {
			return
		}
		state.Chats = append(state.Chats, uint64(en.chat))
		state.Places = append(state.Places, place)
		state.Cached = append(state.Cached, en.cached)
	})
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(&state); err != nil {
		panic(err) // a fixed type of plain fields always encodes to memory
	}
	return buffer.Bytes()
}

func (ow *Owner) exportTarget(now time.Time, tg *target) handoverTarget {
	age := time.Duration(-1)
	if !tg.slowStartAt.IsZero() {
		age = now.Sub(tg.slowStartAt)
	}
	return handoverTarget{
		ID: tg.id, Incarnation: tg.incarnation, Leaving: tg.leaving(), SlowStartAge: age,
		Work: ow.load(now, tg), Running: tg.runningCount(now),
	}
}

// Import takes the state that the shard's former owner exported. The work that the former owner still runs counts as
// another owner's work until a report says more.
func (ow *Owner) Import(now time.Time, data []byte) error {
	var state handover
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&state); err != nil {
		return errors.Wrap(err, "decode the state of the shard")
	}
	if state.Shard != ow.shard {
		return errors.Newf("state of shard %s offered to the owner of %s", state.Shard, ow.shard)
	}
	if len(state.Places) != len(state.Chats) || len(state.Cached) != len(state.Chats) {
		return errors.New("the placement table in the state is incomplete")
	}
	for _, ht := range state.Targets {
		ow.importTarget(now, ht)
	}
	for index, chat := range state.Chats {
		ow.importChat(now, chestnutroad.ChatID(chat), &state, index)
	}
	return nil
}

func (ow *Owner) importTarget(now time.Time, ht handoverTarget) {
	tg := ow.byID[ht.ID]
	if tg == nil {
		tg = ow.addTarget(ht.ID)
		tg.unlistedAt = now
	}
	tg.incarnation = max(tg.incarnation, ht.Incarnation)
	if ht.Leaving {
		tg.leavingNoticeAt = now
	}
	if ht.SlowStartAge >= 0 {
		tg.slowStartAt = now.Add(-ht.SlowStartAge)
	}
	if ht.Work > 0 || ht.Running > 0 {
		tg.setOthers(now, ht.Work, ht.Running)
	}
}

func (tg *target) setOthers(now time.Time, work chestnutroad.WorkUnits, running int) {
	tg.reportAt = now
	tg.othersSeen = true
	tg.othersWork = work
	tg.othersCount = running
}

func (ow *Owner) importChat(now time.Time, chat chestnutroad.ChatID, state *handover, index int) {
	place := int(state.Places[index])
	if place >= len(state.Targets) {
		return
	}
	if _, found := ow.table.get(chat); found {
		return
	}
	tg := ow.byID[state.Targets[place].ID]
	ow.table.put(now, chat, tg.location, chestnutroad.Tokens(state.Cached[index]))
}
