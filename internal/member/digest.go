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

// bucketCount is the number of hashes in a digest; it is the number of bits of Message.Want.
const bucketCount = 32

// outOfSyncBuckets is the number of differing buckets from which a member asks further hosts for records.
const outOfSyncBuckets = 4

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

func isOutOfSync(mask uint32) bool { return bits.OnesCount32(mask) >= outOfSyncBuckets }

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

// differingBuckets returns the set of buckets in which the digest differs from the member's own.
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

// addBucketRecords adds records of the buckets to the message, starting at another place each time.
func (mb *Member) addBucketRecords(ms *Message, mask uint32) {
	if mask == 0 {
		return
	}
	records := mb.bucketRecords(mask)
	room := min(syncBytes, MaxMessage-ms.size())
	for step := range records {
		record := records[(mb.syncCursor+step)%len(records)]
		size := record.size()
		if size > room {
			mb.syncCursor += step
			return
		}
		room -= size
		ms.Records = append(ms.Records, record)
	}
}

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

// shouldSync leaves out deaths that were not checked lately: after a partition heals, each side would otherwise accuse
// the whole other side at once.
func (mb *Member) shouldSync(en *hostEntry) bool {
	if en.state == Dead && mb.lastTick.Sub(en.lastFailedAt) > deathSyncWindow {
		return false
	}
	return en.Incarnation > 0
}

func compareShards(one, two chestnutroad.ShardID) int {
	return cmp.Or(
		cmp.Compare(one.Pool.Service, two.Pool.Service),
		cmp.Compare(one.DataCentre, two.DataCentre),
		cmp.Compare(one.Pool.Site, two.Pool.Site),
	)
}
