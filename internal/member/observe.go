package member

import (
	"strconv"

	"github.com/chestnutroad/chestnutroad"
)

const versionKey = "v"

type epochEntry struct {
	epoch chestnutroad.Epoch
	hash  uint32
}

// ObserveEpoch takes in an epoch of a shard, the member's own or one from an answer, and reports whether it is the
// highest so far.
func (mb *Member) ObserveEpoch(shard chestnutroad.ShardID, epoch chestnutroad.Epoch) bool {
	known := mb.epochs[shard]
	if known == nil {
		known = &epochEntry{}
		mb.epochs[shard] = known
	}
	if epoch.Compare(known.epoch) <= 0 {
		return false
	}
	known.epoch = epoch
	name := shard.String()
	fold := recordHash(name, strconv.FormatInt(epoch.Millis, 36)+string(epoch.Host))
	mb.digest[bucketOf(name)] ^= known.hash ^ fold
	known.hash = fold
	mb.generation++
	mb.enqueue(Record{Kind: RecordEpoch, Shard: shard, Epoch: epoch}, true)
	return true
}

// Epoch returns the highest known epoch of the shard.
func (mb *Member) Epoch(shard chestnutroad.ShardID) chestnutroad.Epoch {
	if known := mb.epochs[shard]; known != nil {
		return known.epoch
	}
	return chestnutroad.Epoch{}
}

// ObserveVersion takes in an accepted configuration version and its offset and reports whether it is the highest so far.
func (mb *Member) ObserveVersion(version chestnutroad.Version, offset chestnutroad.Offset) bool {
	if version < mb.version || version == mb.version && offset <= mb.offset {
		return false
	}
	mb.version = version
	mb.offset = offset
	fold := recordHash(versionKey, strconv.FormatUint(uint64(version), 36)+"/"+strconv.FormatInt(int64(offset), 36))
	mb.digest[bucketOf(versionKey)] ^= mb.versionHash ^ fold
	mb.versionHash = fold
	mb.generation++
	mb.enqueue(mb.versionRecord(), true)
	return true
}

// Version returns the highest known configuration version and its offset.
func (mb *Member) Version() (chestnutroad.Version, chestnutroad.Offset) { return mb.version, mb.offset }

func (mb *Member) versionRecord() Record {
	return Record{Kind: RecordVersion, Version: mb.version, Offset: mb.offset}
}

// Payload returns a message with a payload for another host, or nothing when the host is unknown or dead.
func (mb *Member) Payload(to chestnutroad.HostID, kind PayloadKind, data []byte) []Send {
	en := mb.hosts[to]
	if en == nil || en.state == Dead {
		return nil
	}
	message := mb.message(PayloadMessage, 0)
	message.PayloadKind = kind
	message.Payload = data
	return []Send{{To: en.Host, Priority: kind.Priority(), Message: message}}
}
