package member

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutroad/chestnutroad"
)

// bucketCount is the number of hashes in a digest, and the number of bits in Message.Want.
const bucketCount = 32

// outOfSyncBuckets is the number of differing buckets at which a member is out of sync and probes an additional host for
// records.
const outOfSyncBuckets = 4

// bucketOf returns the digest bucket of a host, machine or shard name, or of versionKey.
func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

// isOutOfSync reports whether the mask has at least outOfSyncBuckets buckets.
func isOutOfSync(mask uint32) bool { return bits.OnesCount32(mask) >= outOfSyncBuckets }

// digestBytes returns the encoded digest, or nil when digests are off.
func (mb *Member) digestBytes() []byte {
	if !mb.settings.digests {
		return nil
	}
	data := make([]byte, 0, 4*bucketCount)
	for _, hash := range mb.digest {
		data = binary.BigEndian.AppendUint32(data, hash)
	}
	return data
}

// differingBuckets returns the set of buckets in which the digest differs from the member's own. It is empty for a digest
// of another length, such as that of a member without digests.
func (mb *Member) differingBuckets(digest []byte) uint32 {
	var mask uint32
	if len(digest) != 4*bucketCount {
		return mask
	}
	for index, hash := range mb.digest {
		if binary.BigEndian.Uint32(digest[4*index:]) != hash {
			mask |= 1 << index
		}
	}
	return mask
}

// addBucketRecords adds records of the buckets to the message, up to syncBytes. If they don't all fit, the next message
// starts further on in the list, so that repeated messages cover all records.
func (mb *Member) addBucketRecords(ms *Message, mask uint32) {
	if mask == 0 {
		return
	}
	records := mb.bucketRecords(mask)
	remaining := min(syncBytes, MaxMessage-ms.size())
	for step := range records {
		record := records[(mb.syncCursor+step)%len(records)]
		size := record.size()
		if size > remaining {
			mb.syncCursor += step
			return
		}
		remaining -= size
		ms.Records = append(ms.Records, record)
	}
}

// bucketRecords returns the records of the buckets in the mask.
func (mb *Member) bucketRecords(mask uint32) []Record {
	var records []Record
	selected := func(name string) bool { return mask&(1<<bucketOf(name)) != 0 }
	if selected(string(mb.self.ID)) {
		records = append(records, mb.selfRecord())
	}
	for _, id := range mb.ids {
		if en := mb.hosts[id]; mb.shouldSync(en) && selected(string(id)) {
			records = append(records, en.record())
		}
	}
	for _, name := range slices.Sorted(maps.Keys(mb.machines)) {
		if mc := mb.machines[name]; mc.stamp > 0 && selected(name) {
			records = append(records, mc.record(name))
		}
	}
	for _, shard := range slices.SortedFunc(maps.Keys(mb.epochs), compareShards) {
		if selected(shard.String()) {
			records = append(records, Record{Kind: RecordEpoch, Shard: shard, Epoch: mb.epochs[shard].epoch})
		}
	}
	if mb.version > 0 && selected(versionKey) {
		records = append(records, mb.versionRecord())
	}
	return records
}

// shouldSync reports whether a record of the host may be sent to repair a bucket. Deaths without a failed probe in the
// last deathSyncWindow are left out: after a partition heals, each side would otherwise report the whole other side dead
// at once.
func (mb *Member) shouldSync(en *hostEntry) bool {
	if en.state == Dead && mb.lastTick.Sub(en.lastFailedAt) > deathSyncWindow {
		return false
	}
	return en.Incarnation > 0
}

func compareShards(a, b chestnutroad.ShardID) int {
	return cmp.Or(
		cmp.Compare(a.Pool.Service, b.Pool.Service),
		cmp.Compare(a.DataCentre, b.DataCentre),
		cmp.Compare(a.Pool.Site, b.Pool.Site),
	)
}
