package member

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// machine is what is known of the leaving of a listed machine, router or target.
type machine struct {
	leaving bool
	// stamp is zero while no record about the machine exists.
	stamp int64
	hash  uint32
	// listed says whether this host's own last list names the machine, listedLeaving what the last one that did said. A
	// machine that left the list while leaving and comes back is a new one.
	listed         bool
	listedLeaving bool
	// conflictSince is since when the list has named the machine as not leaving against the record.
	conflictSince time.Time
}

func (mc *machine) record(name string) Record {
	return Record{Kind: RecordLeaving, Name: name, Leaving: mc.leaving, Stamp: mc.stamp}
}

// SetHostList takes in the platform's host list. It adds hosts and says which machines are leaving; it never declares
// a host dead.
func (mb *Member) SetHostList(now time.Time, list []chestnutroad.ListedHost) {
	mb.hasList = true
	named := map[string]bool{}
	for _, listed := range list {
		named[listed.Name] = true
		if listed.Role == chestnutroad.RoleRouter {
			mb.applyListedRouter(now, &listed)
		}
		mb.applyListedMachine(now, &listed)
	}
	for _, id := range mb.ids {
		mb.hosts[id].listed = named[string(id)]
	}
	for name, mc := range mb.machines {
		if !named[name] {
			mc.listed = false
			mc.conflictSince = time.Time{}
		}
	}
}

func (mb *Member) applyListedRouter(now time.Time, listed *chestnutroad.ListedHost) {
	id := chestnutroad.HostID(listed.Name)
	if id == mb.self.ID {
		return
	}
	en := mb.hosts[id]
	if en == nil {
		mb.add(now, Host{ID: id, DataCentre: listed.DataCentre, PeerAddress: listed.Address})
		return
	}
	// A dead host may have come back at a new address that only the list knows.
	if en.state == Dead || en.Incarnation == 0 {
		en.PeerAddress = listed.Address
	}
}

// applyListedMachine turns a change in this host's own list into a record. Only changes count, so that a list that lags does
// not undo what another host has seen.
func (mb *Member) applyListedMachine(now time.Time, listed *chestnutroad.ListedHost) {
	mc := mb.machines[listed.Name]
	if mc == nil {
		if !listed.Leaving {
			return
		}
		mc = &machine{}
		mb.machines[listed.Name] = mc
	}
	before := mc.listedLeaving
	mc.listed = true
	mc.listedLeaving = listed.Leaving
	switch {
	case listed.Leaving == mc.leaving:
		mc.conflictSince = time.Time{}
	case listed.Leaving && !before:
		mb.setMachineLeaving(listed.Name, mc, true, nextStamp(now, mc))
	case !listed.Leaving && before:
		mb.setMachineLeaving(listed.Name, mc, false, nextStamp(now, mc))
	case mc.conflictSince.IsZero():
		mc.conflictSince = now
	case now.Sub(mc.conflictSince) >= listOverrideDelay:
		mb.setMachineLeaving(listed.Name, mc, listed.Leaving, nextStamp(now, mc))
	}
}

// nextStamp is above the known stamp even when the clock that made that one is ahead.
func nextStamp(now time.Time, mc *machine) int64 { return max(now.UnixMilli(), mc.stamp+1) }

func (mb *Member) setMachineLeaving(name string, mc *machine, leaving bool, stamp int64) {
	mc.leaving = leaving
	mc.stamp = stamp
	mc.conflictSince = time.Time{}
	var fold uint32
	if leaving {
		fold = recordHash(name, strconv.FormatInt(stamp, 36))
	}
	mb.digest[bucketOf(name)] ^= mc.hash ^ fold
	mc.hash = fold
	mb.generation++
	mb.enqueue(mc.record(name), true)
}

func (mb *Member) applyMachine(now time.Time, rc *Record) {
	mc := mb.machines[rc.Name]
	if mc == nil && stampExpired(now, rc.Stamp) {
		return
	}
	if mc == nil {
		mc = &machine{}
		mb.machines[rc.Name] = mc
	}
	if rc.Stamp > mc.stamp {
		mb.setMachineLeaving(rc.Name, mc, rc.Leaving, rc.Stamp)
	}
}

// AnnounceLeaving tells all hosts that a machine is leaving or no longer leaving.
func (mb *Member) AnnounceLeaving(now time.Time, name string, leaving bool) {
	mc := mb.machines[name]
	if mc == nil {
		mc = &machine{}
		mb.machines[name] = mc
	}
	if mc.leaving != leaving {
		mb.setMachineLeaving(name, mc, leaving, nextStamp(now, mc))
	}
}

// MachineLeaving reports whether the router or target of that name is known to be leaving.
func (mb *Member) MachineLeaving(name string) bool {
	mc := mb.machines[name]
	return mc != nil && mc.leaving
}

// LeavingMachines returns the names of all machines that are known to be leaving, in order.
func (mb *Member) LeavingMachines() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(mb.machines)) {
		if mb.machines[name].leaving {
			names = append(names, name)
		}
	}
	return names
}

// removeExpired drops hosts that have been dead for long and machines that are gone, so that memory does not grow.
func (mb *Member) removeExpired(now time.Time) {
	if now.Before(mb.nextCleanup) {
		return
	}
	mb.nextCleanup = now.Add(recheckInterval)
	for _, id := range slices.Clone(mb.ids) {
		if mb.retentionExpired(now, mb.hosts[id]) {
			mb.remove(id)
		}
	}
	for name, mc := range mb.machines {
		if !mc.listed && stampExpired(now, mc.stamp) {
			mb.digest[bucketOf(name)] ^= mc.hash
			delete(mb.machines, name)
			mb.generation++
		}
	}
}

// stampExpired goes by the record's stamp, so that all members forget a machine alike and none brings it back to another.
func stampExpired(now time.Time, stamp int64) bool {
	return now.UnixMilli()-stamp >= leavingRetention.Milliseconds()
}

func (mb *Member) retentionExpired(now time.Time, en *hostEntry) bool {
	if en.state != Dead || en.listed {
		return false
	}
	after := deadRetention
	if mb.hasList {
		after = unlistedRetention
	}
	return now.Sub(en.stateSince) >= after
}
