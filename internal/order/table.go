package order

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// sweepInterval is the log time between two searches of the table for expired claims.
const sweepInterval = 10 * time.Minute

// entry is what the log says of one key.
type entry struct {
	// claimant holds the key; it is zero after a release.
	claimant record.Claimant
	digest   string
	// expires is the log time, in milliseconds, from which on the entry counts as absent.
	expires int64
	outcome *record.Outcome
	// barred has, for each life of a host, the last of its claims that lost or was released. These and the earlier
	// claims of that life never hold the key, even if the log has them twice or late.
	barred []record.Claimant
}

func (en *entry) taken() bool { return !en.claimant.IsZero() }

// known reports whether the order's first answer is in the log.
func (en *entry) known() bool { return en.outcome != nil && !en.outcome.Unknown }

func (en *entry) bars(claimant record.Claimant) bool {
	for _, barred := range en.barred {
		if barred.SameIncarnation(claimant) {
			return claimant.Sequence <= barred.Sequence
		}
	}
	return false
}

func (en *entry) bar(claimant record.Claimant) {
	for index, barred := range en.barred {
		if barred.SameIncarnation(claimant) {
			en.barred[index].Sequence = max(barred.Sequence, claimant.Sequence)
			return
		}
	}
	en.barred = append(en.barred, claimant)
}

// table is the state that the orders stream describes. It depends on the records alone, so all hosts agree on it.
type table struct {
	entries map[Key]*entry
	// clock is the latest time at which the log appended a record that was applied.
	clock int64
	sweep int64
	// touched collects the keys whose entry changed since the machine last looked.
	touched []Key
	// names has one copy of each host and team, which all entries share.
	names map[string]string
	// lives has the latest incarnation of each host that claimed.
	lives map[chestnutroad.HostID]chestnutroad.Incarnation
	// lease makes claims without an outcome pass on after that time. Only the baseline in tests sets it.
	lease time.Duration
}

func newTable() *table {
	tb := &table{names: map[string]string{}, lives: map[chestnutroad.HostID]chestnutroad.Incarnation{}}
	tb.Reset()
	return tb
}

// Reset empties the table.
func (tb *table) Reset() {
	tb.entries = map[Key]*entry{}
	tb.clock = 0
	tb.sweep = 0
	tb.touched = nil
}

// Apply takes the next record of the log.
func (tb *table) Apply(rec chestnutroad.Record) {
	tb.clock = max(tb.clock, rec.Appended.UnixMilli())
	tb.sweepExpired()
	if record.TypeOf(rec.Data) != record.TypeOrders {
		return
	}
	entries, err := record.DecodeOrders(rec.Data)
	if err != nil {
		return
	}
	for index := range entries {
		tb.applyEntry(&entries[index], rec.Appended)
	}
}

func (tb *table) applyEntry(step *record.Entry, appended time.Time) {
	step.Team = chestnutroad.TeamID(tb.name(string(step.Team)))
	step.Claimant.Host = chestnutroad.HostID(tb.name(string(step.Claimant.Host)))
	key := Key{Team: step.Team, Key: step.Key}
	tb.touched = append(tb.touched, key)
	tb.noteLife(step.Claimant)
	switch step.Type {
	case record.EntryClaim:
		tb.claim(key, step, appended)
	case record.EntryOutcome:
		tb.outcome(key, step)
	case record.EntryRelease:
		tb.release(key, step, appended)
	default:
	}
}

func (tb *table) name(text string) string {
	if known, found := tb.names[text]; found {
		return known
	}
	tb.names[text] = text
	return text
}

func (tb *table) noteLife(claimant record.Claimant) {
	tb.lives[claimant.Host] = max(tb.lives[claimant.Host], claimant.Incarnation)
}

// claim gives the key to the claimant if nobody holds it; otherwise the claim has lost for good.
func (tb *table) claim(key Key, step *record.Entry, appended time.Time) {
	en := tb.ensure(key)
	if en.bars(step.Claimant) || en.claimant == step.Claimant {
		return
	}
	if en.taken() && !tb.leaseOver(en, step, appended) {
		en.bar(step.Claimant)
		return
	}
	en.claimant = step.Claimant
	en.digest = step.Digest
	en.expires = appended.UnixMilli() + step.KeepMs
}

func (tb *table) leaseOver(en *entry, step *record.Entry, appended time.Time) bool {
	if tb.lease == 0 || en.outcome != nil {
		return false
	}
	claimed := en.expires - step.KeepMs
	return appended.UnixMilli() > claimed+tb.lease.Milliseconds()
}

// outcome stores the first known answer of the claim that holds the key.
func (tb *table) outcome(key Key, step *record.Entry) {
	en := tb.live(key)
	if en == nil || en.claimant != step.Claimant || step.Outcome == nil || en.known() {
		return
	}
	en.outcome = step.Outcome
}

// covers reports whether a release of the claimant frees the key: it speaks for the earlier claims of that life too,
// since a host gives up each before it makes the next. An order that has an outcome is never released.
func (en *entry) covers(claimant record.Claimant) bool {
	return en.taken() && en.outcome == nil && en.claimant.SameIncarnation(claimant) && en.claimant.Sequence <= claimant.Sequence
}

// release frees the key. The claim may come later in the log than its release, so it is barred in any case.
func (tb *table) release(key Key, step *record.Entry, appended time.Time) {
	en := tb.ensure(key)
	if en.covers(step.Claimant) {
		en.claimant = record.Claimant{}
		en.digest = ""
	}
	en.bar(step.Claimant)
	if !en.taken() {
		en.expires = max(en.expires, appended.UnixMilli()+step.KeepMs)
	}
}

// live returns the entry of the key, or nil when there is none or it has expired.
func (tb *table) live(key Key) *entry {
	en := tb.entries[key]
	if en == nil {
		return nil
	}
	if tb.clock >= en.expires {
		delete(tb.entries, key)
		return nil
	}
	return en
}

func (tb *table) ensure(key Key) *entry {
	if en := tb.live(key); en != nil {
		return en
	}
	en := &entry{}
	tb.entries[key] = en
	return en
}

// sweepExpired frees the memory of expired entries. When that happens has no influence on what live returns.
func (tb *table) sweepExpired() {
	if tb.clock < tb.sweep {
		return
	}
	tb.sweep = tb.clock + sweepInterval.Milliseconds()
	tb.dropExpired()
}

func (tb *table) dropExpired() {
	for key, en := range tb.entries {
		if tb.clock >= en.expires {
			delete(tb.entries, key)
		}
	}
}

// takeTouched returns the keys whose entry changed since the last call.
func (tb *table) takeTouched() []Key {
	touched := tb.touched
	tb.touched = nil
	return touched
}
