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
	// expiresMs is the log time, in milliseconds, from which on the entry counts as absent.
	expiresMs int64
	outcome   *record.Outcome
	// barred has, for each life of a host, the last of its claims that lost or was released. These and the earlier
	// claims of that life never hold the key, even if the log has them twice or late.
	barred []record.Claimant
}

func (en *entry) claimed() bool { return !en.claimant.IsZero() }

// answered reports whether the order's first answer is in the log.
func (en *entry) answered() bool { return en.outcome != nil && !en.outcome.Unknown }

func (en *entry) isBarred(claimant record.Claimant) bool {
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
	// clockMs is the latest time at which the log appended a record that was applied.
	clockMs     int64
	nextSweepMs int64
	// touched collects the keys whose entry changed since the machine last looked.
	touched []Key
	// interned has one copy of each host and team, which all entries share.
	interned map[string]string
	// incarnations has the latest incarnation of each host that claimed.
	incarnations map[chestnutroad.HostID]chestnutroad.Incarnation
	// lease makes claims without an outcome pass on after that time. Only the baseline in tests sets it.
	lease time.Duration
}

func newTable() *table {
	tb := &table{interned: map[string]string{}, incarnations: map[chestnutroad.HostID]chestnutroad.Incarnation{}}
	tb.Reset()
	return tb
}

// Reset empties the table.
func (tb *table) Reset() {
	tb.entries = map[Key]*entry{}
	tb.clockMs = 0
	tb.nextSweepMs = 0
	tb.touched = nil
}

// Apply takes the next record of the log.
func (tb *table) Apply(rec chestnutroad.Record) {
	tb.clockMs = max(tb.clockMs, rec.Appended.UnixMilli())
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
	step.Team = chestnutroad.TeamID(tb.intern(string(step.Team)))
	step.Claimant.Host = chestnutroad.HostID(tb.intern(string(step.Claimant.Host)))
	key := Key{Team: step.Team, Key: step.Key}
	tb.touched = append(tb.touched, key)
	tb.recordIncarnation(step.Claimant)
	switch step.Type {
	case record.EntryClaim:
		tb.applyClaim(key, step, appended)
	case record.EntryOutcome:
		tb.applyOutcome(key, step)
	case record.EntryRelease:
		tb.applyRelease(key, step, appended)
	default:
	}
}

func (tb *table) intern(text string) string {
	if known, found := tb.interned[text]; found {
		return known
	}
	tb.interned[text] = text
	return text
}

func (tb *table) recordIncarnation(claimant record.Claimant) {
	tb.incarnations[claimant.Host] = max(tb.incarnations[claimant.Host], claimant.Incarnation)
}

// applyClaim gives the key to the claimant if nobody holds it; otherwise the applyClaim has lost for good.
func (tb *table) applyClaim(key Key, step *record.Entry, appended time.Time) {
	en := tb.getOrCreate(key)
	if en.isBarred(step.Claimant) || en.claimant == step.Claimant {
		return
	}
	if en.claimed() && !tb.leaseExpired(en, step, appended) {
		en.bar(step.Claimant)
		return
	}
	en.claimant = step.Claimant
	en.digest = step.Digest
	en.expiresMs = appended.UnixMilli() + step.KeepMs
}

func (tb *table) leaseExpired(en *entry, step *record.Entry, appended time.Time) bool {
	if tb.lease == 0 || en.outcome != nil {
		return false
	}
	claimed := en.expiresMs - step.KeepMs
	return appended.UnixMilli() > claimed+tb.lease.Milliseconds()
}

// applyOutcome stores the first known answer of the claim that holds the key.
func (tb *table) applyOutcome(key Key, step *record.Entry) {
	en := tb.live(key)
	if en == nil || en.claimant != step.Claimant || step.Outcome == nil || en.answered() {
		return
	}
	en.outcome = step.Outcome
}

// releasedBy reports whether a release of the claimant frees the key: it speaks for the earlier claims of that life too,
// since a host gives up each before it makes the next. An order that has an outcome is never released.
func (en *entry) releasedBy(claimant record.Claimant) bool {
	return en.claimed() && en.outcome == nil && en.claimant.SameIncarnation(claimant) && en.claimant.Sequence <= claimant.Sequence
}

// applyRelease frees the key. The claim may come later in the log than its applyRelease, so it is barred in any case.
func (tb *table) applyRelease(key Key, step *record.Entry, appended time.Time) {
	en := tb.getOrCreate(key)
	if en.releasedBy(step.Claimant) {
		en.claimant = record.Claimant{}
		en.digest = ""
	}
	en.bar(step.Claimant)
	if !en.claimed() {
		en.expiresMs = max(en.expiresMs, appended.UnixMilli()+step.KeepMs)
	}
}

// live returns the entry of the key, or nil when there is none or it has expired.
func (tb *table) live(key Key) *entry {
	en := tb.entries[key]
	if en == nil {
		return nil
	}
	if tb.clockMs >= en.expiresMs {
		delete(tb.entries, key)
		return nil
	}
	return en
}

func (tb *table) getOrCreate(key Key) *entry {
	if en := tb.live(key); en != nil {
		return en
	}
	en := &entry{}
	tb.entries[key] = en
	return en
}

// sweepExpired frees the memory of expired entries. When that happens has no influence on what live returns.
func (tb *table) sweepExpired() {
	if tb.clockMs < tb.nextSweepMs {
		return
	}
	tb.nextSweepMs = tb.clockMs + sweepInterval.Milliseconds()
	tb.deleteExpired()
}

func (tb *table) deleteExpired() {
	for key, en := range tb.entries {
		if tb.clockMs >= en.expiresMs {
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
