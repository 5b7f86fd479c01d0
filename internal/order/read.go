package order

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// ReadBatch applies records of the orders stream that were read from NextOffset on.
func (mc *Machine) ReadBatch(now time.Time, batch chestnutroad.Batch) []Action {
	mc.log.unreadable = false
	ready := mc.Ready()
	replaced := mc.reader.ApplyBatch(now, batch)
	touched := mc.table.takeTouched()
	if replaced || !ready && mc.Ready() {
		mc.resolveAll(now)
		mc.releaseOrphanedClaims(now)
	} else {
		mc.resolveKeys(now, touched)
	}
	mc.expire(now)
	return mc.finish(now)
}

func (mc *Machine) resolveKeys(now time.Time, keys []Key) {
	for _, key := range keys {
		mc.removeIfDone(mc.outcomes, key)
		mc.removeIfDone(mc.releases, key)
		if fl := mc.flights[key]; fl != nil {
			mc.resolve(now, fl)
			continue
		}
		if en := mc.table.live(key); en != nil && mc.abandoned(key, en) {
			mc.releaseAbandoned(now, key, en.claimant)
		}
	}
}

// releaseOrphanedClaims releases the keys of abandoned claims that came with a snapshot or a peer's state, since resolveKeys
// sees only the claims that are read as single records.
func (mc *Machine) releaseOrphanedClaims(now time.Time) {
	if !mc.Ready() {
		return
	}
	var orphans []Key
	for key, en := range mc.table.entries {
		if mc.abandoned(key, en) && mc.flights[key] == nil && mc.table.live(key) != nil {
			orphans = append(orphans, key)
		}
	}
	slices.SortFunc(orphans, compareKeys)
	for _, key := range orphans {
		mc.releaseAbandoned(now, key, mc.table.entries[key].claimant)
	}
}

func (mc *Machine) resolveAll(now time.Time) {
	mc.removeDone(mc.outcomes)
	mc.removeDone(mc.releases)
	for _, fl := range mc.sortedFlights() {
		mc.resolve(now, fl)
	}
}

func (mc *Machine) removeDone(writes map[Key]*pendingWrite) {
	for key := range writes {
		mc.removeIfDone(writes, key)
	}
}

// removeIfDone removes the pending write of the key if it is done. A write that was sent or in doubt proves that the log
// accepts appends.
func (mc *Machine) removeIfDone(writes map[Key]*pendingWrite, key Key) {
	wr := writes[key]
	if wr == nil || !wr.done(mc.table) {
		return
	}
	if wr.state == writeInDoubt || wr.state == writeSent {
		mc.log.recordSuccess()
	}
	delete(writes, key)
}

// HostDead marks the incarnation of the host and all earlier ones as dead.
func (mc *Machine) HostDead(now time.Time, host chestnutroad.HostID, incarnation chestnutroad.Incarnation) []Action {
	mc.expire(now)
	if mc.dead[host] < incarnation {
		mc.dead[host] = incarnation
		mc.resolveAll(now)
	}
	return mc.finish(now)
}

// HostAlive withdraws the mark of HostDead from the incarnation of the host and from all later ones.
func (mc *Machine) HostAlive(now time.Time, host chestnutroad.HostID, incarnation chestnutroad.Incarnation) []Action {
	mc.expire(now)
	if incarnation > 0 && mc.dead[host] >= incarnation {
		mc.dead[host] = incarnation - 1
	}
	return mc.finish(now)
}
