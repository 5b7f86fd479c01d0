package pool

import (
	"bytes"
	"encoding/gob"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// handover is the state that an owner exports to its successor. Its fields are encoded with gob under their names.
type handover struct {
	Shard   chestnutroad.ShardID
	Targets []handoverTarget
	// Chats, Places and Cached are the columns of the placement table, the least recently used chat first.
	Chats  []uint64
	Places []uint32 // indexes into Targets
	Cached []uint32
}

// handoverTarget is the state of one target in a handover.
type handoverTarget struct {
	ID           chestnutroad.TargetID
	Incarnation  chestnutroad.Incarnation
	Leaving      bool
	SlowStartAge time.Duration // negative when the target has its full weight
	Work         chestnutroad.WorkUnits
	Running      int
}

// Export returns the placement table and the load of the targets, as of the last event, for the shard's successor.
func (ow *Owner) Export() []byte {
	state := handover{Shard: ow.shard}
	targetIndexes := map[locationIndex]uint32{}
	for index, tg := range ow.targets {
		targetIndexes[tg.location] = uint32(index)
		state.Targets = append(state.Targets, ow.exportTarget(ow.lastEvent, tg))
	}
	ow.table.each(func(en tableEntry) {
		targetIndex, found := targetIndexes[en.location]
		if !found {
			return
		}
		state.Chats = append(state.Chats, uint64(en.chat))
		state.Places = append(state.Places, targetIndex)
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

// Import applies the state that the shard's former owner exported. Work that still runs under the former owner counts
// as another owner's work until a report replaces it.
func (ow *Owner) Import(now time.Time, data []byte) error {
	var state handover
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&state); err != nil {
		return errors.Wrap(err, "decode shard state")
	}
	if state.Shard != ow.shard {
		return errors.Newf("state belongs to shard %s, not to %s", state.Shard, ow.shard)
	}
	if len(state.Places) != len(state.Chats) || len(state.Cached) != len(state.Chats) {
		return errors.New("columns of the placement table differ in length")
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

// setOthers sets the work of other owners as if a report had shown it.
func (tg *target) setOthers(now time.Time, work chestnutroad.WorkUnits, running int) {
	tg.reportAt = now
	tg.othersSeen = true
	tg.othersWork = work
	tg.othersCount = running
}

// importChat adds one chat to the placement table unless the owner has a placement for it already.
func (ow *Owner) importChat(now time.Time, chat chestnutroad.ChatID, state *handover, index int) {
	targetIndex := int(state.Places[index])
	if targetIndex >= len(state.Targets) {
		return
	}
	if _, found := ow.table.get(chat); found {
		return
	}
	tg := ow.byID[state.Targets[targetIndex].ID]
	ow.table.put(now, chat, tg.location, chestnutroad.Tokens(state.Cached[index]))
}
