package placement

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// maxHolders limits the holders of a part. Popular parts are spread over more targets; four links suffice as sources, since
	// those that fetched a part become holders in turn.
	maxHolders = 4
	// maxHeldParts limits the parts with holders, each of which takes up to 250 bytes.
	maxHeldParts = 4096
	// holderSweepInterval is the time between two sweeps of a full table, which take a pass over all parts.
	holderSweepInterval = time.Second
	// prefillWindow is the time after a choice in which the part's prefill or fetch at the target is probably in progress. The
	// longest prompts take an idle engine 0.2 s, and requests may wait for a slot first.
	prefillWindow = time.Second
)

// holder is one incarnation of a target that probably has a part in its cache.
type holder struct {
	instance
	// chosenAt is when a request with the part was last sent there, answeredAt when one was last answered; zero for never.
	chosenAt   time.Time
	answeredAt time.Time
}

// lastUse returns the time of the last use.
func (hd *holder) lastUse() time.Time {
	if hd.chosenAt.After(hd.answeredAt) {
		return hd.chosenAt
	}
	return hd.answeredAt
}

// holderTable tracks which targets have prompt parts in their caches, as far as this host's own requests show. It is used only for
// services with fetches; where requests are sent does not depend on it.
type holderTable struct {
	parts   map[chestnutroad.PartHash][]holder
	sweptAt time.Time
}

func newHolderTable() *holderTable {
	return &holderTable{parts: map[chestnutroad.PartHash][]holder{}}
}

// find returns the entry of a target for a part, or nil.
func (ht *holderTable) find(part chestnutroad.PartHash, in instance) *holder {
	holders := ht.parts[part]
	for index := range holders {
		if holders[index].instance == in {
			return &holders[index]
		}
	}
	return nil
}

// add returns the entry of a target for a part and creates it if needed, in place of another incarnation's or of the one that was
// unused for longest. It returns nil for a new part while the table is full.
func (ht *holderTable) add(now time.Time, ttl time.Duration, part chestnutroad.PartHash, in instance) *holder {
	if found := ht.find(part, in); found != nil {
		return found
	}
	if ht.parts[part] == nil && !ht.makeRoom(now, ttl) {
		return nil
	}
	holders := slices.DeleteFunc(ht.parts[part], func(hd holder) bool { return hd.id == in.id || now.Sub(hd.lastUse()) >= ttl })
	if len(holders) >= maxHolders {
		slices.SortFunc(holders, func(a, b holder) int { return b.lastUse().Compare(a.lastUse()) })
		holders = holders[:maxHolders-1]
	}
	ht.parts[part] = append(holders, holder{instance: in})
	return &ht.parts[part][len(holders)]
}

// makeRoom drops expired parts once the table is full, and reports whether there is room for another one.
func (ht *holderTable) makeRoom(now time.Time, ttl time.Duration) bool {
	if len(ht.parts) < maxHeldParts {
		return true
	}
	if now.Sub(ht.sweptAt) < holderSweepInterval {
		return false
	}
	ht.sweptAt = now
	for part, holders := range ht.parts {
		if !slices.ContainsFunc(holders, func(hd holder) bool { return now.Sub(hd.lastUse()) < ttl }) {
			delete(ht.parts, part)
		}
	}
	return len(ht.parts) < maxHeldParts
}

// holds reports whether the target has the part, or is probably about to.
func (ht *holderTable) holds(now time.Time, ttl time.Duration, part chestnutroad.PartHash, in instance) bool {
	hd := ht.find(part, in)
	return hd != nil && (now.Sub(hd.answeredAt) < ttl || now.Sub(hd.chosenAt) < prefillWindow)
}

// sources returns the targets that answered a request with the part.
func (ht *holderTable) sources(now time.Time, ttl time.Duration, part chestnutroad.PartHash) []instance {
	var sources []instance
	for _, hd := range ht.parts[part] {
		if now.Sub(hd.answeredAt) < ttl {
			sources = append(sources, hd.instance)
		}
	}
	return sources
}
