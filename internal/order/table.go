package order

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// sweepInterval is the log time between two sweeps of the table for expired entries.
const sweepInterval = 10 * time.Minute

// entry is the state of one key that results from the log.
type entry struct {
	// claimant is the claim that holds the key, or zero if none does.
	claimant record.Claimant
	digest   string
	// expiresMs is the log time, in Unix milliseconds, from which on the entry is treated as absent.
	expiresMs int64
	outcome   *record.Outcome
	// barred has the latest lost or released claim of each incarnation of a host. That claim and the earlier ones of the
	// incarnation can never hold the key, even if the log contains them twice or late.
	barred []record.Claimant
}

func (en *entry) claimed() bool { return !en.claimant.IsZero() }

// answered reports whether the log has the order's answer, not only an unknown outcome.
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

// table is the state of all keys. It depends on the records of the orders stream alone, so all hosts derive the same one.
type table struct {
	entries map[Key]*entry
	// clockMs is the log time: the latest append time of the applied records, in Unix milliseconds.
	clockMs     int64
	nextSweepMs int64
	// touched collects the keys of the log entries applied since the last takeTouched.
	touched []Key
	// interned has one copy of each host and team id, which all entries share to save memory.
	interned map[string]string
	// incarnations has the latest incarnation of each host in the log entries.
	incarnations map[chestnutroad.HostID]chestnutroad.Incarnation
	// lease is the time after which a claim without an outcome loses its key to another claim; only tests set it.
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

// Apply updates the table by the next record of the log.
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

func (tb *table) applyEntry(logged *record.Entry, appended time.Time) {
	logged.Team = chestnutroad.TeamID(tb.intern(string(logged.Team)))
	logged.Claimant.Host = chestnutroad.HostID(tb.intern(string(logged.Claimant.Host)))
	key := Key{Team: logged.Team, Key: logged.Key}
	tb.touched = append(tb.touched, key)
	tb.recordIncarnation(logged.Claimant)
	switch logged.Type {
	case record.EntryClaim:
		tb.applyClaim(key, logged, appended)
	case record.EntryOutcome:
		tb.applyOutcome(key, logged)
	case record.EntryRelease:
		tb.applyRelease(key, logged, appended)
	default:
	}
}

func (tb *table) intern(text string) string {
	if shared, found := tb.interned[text]; found {
		return shared
	}
	tb.interned[text] = text
	return text
}

func (tb *table) recordIncarnation(claimant record.Claimant) {
	tb.incarnations[claimant.Host] = max(tb.incarnations[claimant.Host], claimant.Incarnation)
}

// applyClaim gives the key to the claimant if no claim holds it; otherwise the claim is barred permanently.
func (tb *table) applyClaim(key Key, logged *record.Entry, appended time.Time) {
	en := tb.getOrCreate(key)
	if en.isBarred(logged.Claimant) || en.claimant == logged.Claimant {
		return
	}
	if en.claimed() && !tb.leaseExpired(en, logged, appended) {
		en.bar(logged.Claimant)
		return
	}
	en.claimant = logged.Claimant
	en.digest = logged.Digest
	en.expiresMs = appended.UnixMilli() + logged.KeepMs
}

func (tb *table) leaseExpired(en *entry, logged *record.Entry, appended time.Time) bool {
	if tb.lease == 0 || en.outcome != nil {
		return false
	}
	claimed := en.expiresMs - logged.KeepMs
	return appended.UnixMilli() > claimed+tb.lease.Milliseconds()
}

// applyOutcome stores the outcome of the claim that holds the key. An answer replaces an unknown outcome and is final.
func (tb *table) applyOutcome(key Key, logged *record.Entry) {
	en := tb.live(key)
	if en == nil || en.claimant != logged.Claimant || logged.Outcome == nil || en.answered() {
		return
	}
	en.outcome = logged.Outcome
}

// releasedBy reports whether a release of the claimant frees the key. A release includes the earlier claims of the same
// incarnation, since a host abandons each claim before it makes the next. An order with an outcome is never released.
func (en *entry) releasedBy(claimant record.Claimant) bool {
	return en.claimed() && en.outcome == nil && en.claimant.SameIncarnation(claimant) && en.claimant.Sequence <= claimant.Sequence
}

// applyRelease frees the key and bars the claim, since the claim may come later in the log than its release.
func (tb *table) applyRelease(key Key, logged *record.Entry, appended time.Time) {
	en := tb.getOrCreate(key)
	if en.releasedBy(logged.Claimant) {
		en.claimant = record.Claimant{}
		en.digest = ""
	}
	en.bar(logged.Claimant)
	if !en.claimed() {
		en.expiresMs = max(en.expiresMs, appended.UnixMilli()+logged.KeepMs)
	}
}

// live returns the unexpired entry of the key, or nil if there is none.
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

// sweepExpired frees the memory of expired entries. Its timing does not affect the results of live.
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

// takeTouched returns the keys of the log entries applied since the last call; a key may occur more than once.
func (tb *table) takeTouched() []Key {
	touched := tb.touched
	tb.touched = nil
	return touched
}
