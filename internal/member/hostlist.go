package member

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// machine holds whether a machine (a router or a target) is leaving, according to records and the host list.
type machine struct {
	leaving bool
	// stamp is the stamp of the latest record about the machine.
	stamp int64
	// hash is the hash of the machine's record that the digest contains.
	hash uint32
	// listed is true while this host's copy of the list contains the machine, and listedLeaving is its state in the last
	// copy that did. A machine that was removed from the list while leaving, and comes back as not leaving, is a new one.
	listed        bool
	listedLeaving bool
	// conflictSince is since when the list has contradicted the latest record, or zero.
	conflictSince time.Time
}

func (mc *machine) record(name string) Record {
	return Record{Kind: RecordLeaving, Name: name, Leaving: mc.leaving, Stamp: mc.stamp}
}

// SetHostList applies the platform's host list. It adds hosts and updates which machines are leaving, but never declares a
// host dead.
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

// applyListedRouter adds a router, or updates its address.
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
	// A dead host may have come back at a new address that only the list contains.
	if en.state == Dead || en.Incarnation == 0 {
		en.PeerAddress = listed.Address
	}
}

// applyListedMachine turns a change in this host's copy of the list into a record. Only changes count, so that a stale list
// does not undo what another host has observed; but a list that contradicts the record for listOverrideDelay wins.
func (mb *Member) applyListedMachine(now time.Time, listed *chestnutroad.ListedHost) {
	mc := mb.machines[listed.Name]
	if mc == nil {
		if !listed.Leaving {
			return
		}
		mc = &machine{}
		mb.machines[listed.Name] = mc
	}
	wasLeaving := mc.listedLeaving
	mc.listed = true
	mc.listedLeaving = listed.Leaving
	switch {
	case listed.Leaving == mc.leaving:
		mc.conflictSince = time.Time{}
	case listed.Leaving && !wasLeaving:
		mb.setMachineLeaving(listed.Name, mc, true, nextStamp(now, mc))
	case !listed.Leaving && wasLeaving:
		mb.setMachineLeaving(listed.Name, mc, false, nextStamp(now, mc))
	case mc.conflictSince.IsZero():
		mc.conflictSince = now
	case now.Sub(mc.conflictSince) >= listOverrideDelay:
		mb.setMachineLeaving(listed.Name, mc, listed.Leaving, nextStamp(now, mc))
	}
}

// nextStamp returns a stamp for the current time, or a higher one if the machine's last stamp, which may come from a host
// whose clock is ahead, is not below it.
func nextStamp(now time.Time, mc *machine) int64 { return max(now.UnixMilli(), mc.stamp+1) }

// setMachineLeaving updates the machine and the digest, and gossips the new record.
func (mb *Member) setMachineLeaving(name string, mc *machine, leaving bool, stamp int64) {
	mc.leaving = leaving
	mc.stamp = stamp
	mc.conflictSince = time.Time{}
	var hash uint32
	if leaving {
		hash = recordHash(name, strconv.FormatInt(stamp, 36))
	}
	mb.digest[bucketOf(name)] ^= mc.hash ^ hash
	mc.hash = hash
	mb.generation++
	mb.enqueue(mc.record(name), true)
}

// applyMachine applies a RecordLeaving with a higher stamp. An expired record does not add a machine.
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

// AnnounceLeaving gossips to all hosts that a machine is leaving or no longer leaving.
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

// MachineLeaving reports whether the router or target with the name is leaving.
func (mb *Member) MachineLeaving(name string) bool {
	mc := mb.machines[name]
	return mc != nil && mc.leaving
}

// LeavingMachines returns the sorted names of all machines that are leaving.
func (mb *Member) LeavingMachines() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(mb.machines)) {
		if mb.machines[name].leaving {
			names = append(names, name)
		}
	}
	return names
}

// removeExpired removes hosts that have been dead for the retention time, and machines that are no longer listed and whose
// record has expired, so that memory does not grow.
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

// stampExpired reports whether a record is older than leavingRetention. Its age is that of the stamp, not the time since
// its arrival, so that all members remove a machine alike and none sends it to another again.
func stampExpired(now time.Time, stamp int64) bool {
	return now.UnixMilli()-stamp >= leavingRetention.Milliseconds()
}

// retentionExpired reports whether a host may be removed: it is not listed and has been dead for the retention time, which
// is longer without a host list.
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
