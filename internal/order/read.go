package order

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// ReadBatch takes records of the orders stream that were read from From on.
func (mc *Machine) ReadBatch(now time.Time, read chestnutroad.Batch) []Action {
	mc.log.unread = false
	ready := mc.Ready()
	replaced := mc.reader.Read(now, read)
	touched := mc.table.takeTouched()
	if replaced || !ready && mc.Ready() {
		mc.resolveAll(now)
	} else {
		mc.resolveKeys(now, touched)
	}
	mc.expire(now)
	return mc.finish(now)
}

func (mc *Machine) resolveKeys(now time.Time, keys []Key) {
	for _, key := range keys {
		mc.settle(mc.outcomes, key)
		mc.settle(mc.releases, key)
		if fl := mc.flights[key]; fl != nil {
			mc.resolve(now, fl)
			continue
		}
		if en := mc.table.live(key); en != nil && mc.abandoned(key, en) {
			mc.releaseAbandoned(now, key, en.claimant)
		}
	}
}

func (mc *Machine) resolveAll(now time.Time) {
	mc.settleAll(mc.outcomes)
	mc.settleAll(mc.releases)
	for _, fl := range mc.sortedFlights() {
		mc.resolve(now, fl)
	}
}

func (mc *Machine) settleAll(writes map[Key]*write) {
	for key := range writes {
		mc.settle(writes, key)
	}
}

// settle forgets a write that was read back.
func (mc *Machine) settle(writes map[Key]*write, key Key) {
	wr := writes[key]
	if wr == nil || !wr.done(mc.table) {
		return
	}
	if wr.state == writeInDoubt || wr.state == writeSent {
		mc.log.appended()
	}
	delete(writes, key)
}

// HostGone tells that this and all earlier lives of the host have ended.
func (mc *Machine) HostGone(now time.Time, host chestnutroad.HostID, life chestnutroad.Incarnation) []Action {
	mc.expire(now)
	if mc.gone[host] < life {
		mc.gone[host] = life
		mc.resolveAll(now)
	}
	return mc.finish(now)
}

// HostBack tells that this life of the host turned out to be alive.
func (mc *Machine) HostBack(now time.Time, host chestnutroad.HostID, life chestnutroad.Incarnation) []Action {
	mc.expire(now)
	if life > 0 && mc.gone[host] >= life {
		mc.gone[host] = life - 1
	}
	return mc.finish(now)
}
