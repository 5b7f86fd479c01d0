package member

import (
	"strconv"

	"github.com/chestnutroad/chestnutroad"
)

// versionKey is the name by which the configuration version is hashed into the digest.
const versionKey = "v"

// epochEntry is the highest observed epoch of a shard and the hash of its record in the digest.
type epochEntry struct {
	epoch chestnutroad.Epoch
	hash  uint32
}

// ObserveEpoch stores and gossips an epoch of a shard if it is higher than all earlier ones, and reports whether it is.
// The epoch is the member's own, or comes from a record or an answer of another host.
func (mb *Member) ObserveEpoch(shard chestnutroad.ShardID, epoch chestnutroad.Epoch) bool {
	en := mb.epochs[shard]
	if en == nil {
		en = &epochEntry{}
		mb.epochs[shard] = en
	}
	if epoch.Compare(en.epoch) <= 0 {
		return false
	}
	en.epoch = epoch
	name := shard.String()
	hash := recordHash(name, strconv.FormatInt(epoch.Millis, 36)+string(epoch.Host))
	mb.digest[bucketOf(name)] ^= en.hash ^ hash
	en.hash = hash
	mb.generation++
	mb.enqueue(Record{Kind: RecordEpoch, Shard: shard, Epoch: epoch}, true)
	return true
}

// Epoch returns the highest observed epoch of the shard, or the zero epoch.
func (mb *Member) Epoch(shard chestnutroad.ShardID) chestnutroad.Epoch {
	if en := mb.epochs[shard]; en != nil {
		return en.epoch
	}
	return chestnutroad.Epoch{}
}

// ObserveVersion stores and gossips an accepted configuration version and its offset if the version is higher than all
// earlier ones, or has a higher offset, and reports whether it is.
func (mb *Member) ObserveVersion(version chestnutroad.Version, offset chestnutroad.Offset) bool {
	if version < mb.version || version == mb.version && offset <= mb.offset {
		return false
	}
	mb.version = version
	mb.offset = offset
	hash := recordHash(versionKey, strconv.FormatUint(uint64(version), 36)+"/"+strconv.FormatInt(int64(offset), 36))
	mb.digest[bucketOf(versionKey)] ^= mb.versionHash ^ hash
	mb.versionHash = hash
	mb.generation++
	mb.enqueue(mb.versionRecord(), true)
	return true
}

// Version returns the highest observed configuration version and its offset.
func (mb *Member) Version() (chestnutroad.Version, chestnutroad.Offset) { return mb.version, mb.offset }

func (mb *Member) versionRecord() Record {
	return Record{Kind: RecordVersion, Version: mb.version, Offset: mb.offset}
}

// Payload returns a message that carries the payload to the host, or nil if the host is unknown or dead.
func (mb *Member) Payload(to chestnutroad.HostID, kind PayloadKind, data []byte) []Send {
	en := mb.hosts[to]
	if en == nil || en.state == Dead {
		return nil
	}
	message := mb.newMessage(PayloadMessage, 0)
	message.PayloadKind = kind
	message.Payload = data
	return []Send{{To: en.Host, Priority: kind.Priority(), Message: message}}
}
