package order

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// ReadBatch takes records of the orders stream that were read from From on.
func (mc *Machine) ReadBatch(now time.Time, read chestnutroad.Batch) []Action {
	mc.log.unreadable = false
	ready := mc.Ready()
	replaced := mc.reader.ApplyBatch(now, read)
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

// releaseOrphanedClaims frees the keys that a new base shows as held by abandoned claims, which were never read one by one.
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

func (mc *Machine) removeDone(writes map[Key]*write) {
	for key := range writes {
		mc.removeIfDone(writes, key)
	}
}

// removeIfDone forgets a write that was read back.
func (mc *Machine) removeIfDone(writes map[Key]*write, key Key) {
	wr := writes[key]
	if wr == nil || !wr.done(mc.table) {
		return
	}
	if wr.state == writeInDoubt || wr.state == writeSent {
		mc.log.recordSuccess()
	}
	delete(writes, key)
}

// HostDead tells that this and all earlier lives of the host have ended.
func (mc *Machine) HostDead(now time.Time, host chestnutroad.HostID, life chestnutroad.Incarnation) []Action {
	mc.expire(now)
	if mc.dead[host] < life {
		mc.dead[host] = life
		mc.resolveAll(now)
	}
	return mc.finish(now)
}

// HostAlive tells that this life of the host turned out to be alive.
func (mc *Machine) HostAlive(now time.Time, host chestnutroad.HostID, life chestnutroad.Incarnation) []Action {
	mc.expire(now)
	if life > 0 && mc.dead[host] >= life {
		mc.dead[host] = life - 1
	}
	return mc.finish(now)
}
