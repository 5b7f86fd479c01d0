package member

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutroad/chestnutroad"
)

// RecordKind is the subject of a record.
type RecordKind int

// The kinds of records.
const (
	// RecordHost holds the incarnation and state of a host.
	RecordHost RecordKind = iota + 1
	// RecordLeaving holds whether a machine (a router or a target) is leaving.
	RecordLeaving
	// RecordEpoch holds the highest epoch of a shard that the sender has observed.
	RecordEpoch
	// RecordVersion holds the highest configuration version that the sender has observed and its offset in the log.
	RecordVersion
)

// Record is a piece of state that members gossip to each other; which fields are set depends on Kind.
type Record struct {
	Kind    RecordKind
	Host    Host
	State   State
	Leaving bool
	// Name is the name of the machine in a RecordLeaving.
	Name string
	// Stamp is a Unix time in milliseconds that orders the records about a machine; the highest one wins.
	Stamp   int64
	Shard   chestnutroad.ShardID
	Epoch   chestnutroad.Epoch
	Version chestnutroad.Version
	Offset  chestnutroad.Offset
}

// key identifies the subject of the record. In the send queue, a later record replaces an earlier one of the same key.
func (rc *Record) key() string {
	switch rc.Kind {
	case RecordHost:
		return "h/" + string(rc.Host.ID)
	case RecordLeaving:
		return "l/" + rc.Name
	case RecordEpoch:
		return "e/" + rc.Shard.String()
	default:
		return "v"
	}
}

// recordHash returns the hash of a record's name and content, which is combined by XOR into the digest of its bucket.
func recordHash(name, content string) uint32 {
	return uint32(xxhash.Sum64String(name + "\x00" + content))
}

// digestHash returns the hash of the host's record. Dead hosts, and hosts whose incarnation is not known yet, add nothing
// to the digest.
func (en *hostEntry) digestHash() uint32 {
	if en.state == Dead || en.Incarnation == 0 {
		return 0
	}
	content := strconv.FormatUint(uint64(en.Incarnation), 36) + "/" + strconv.Itoa(int(en.state)) + strconv.FormatBool(en.leaving)
	return recordHash(string(en.ID), content)
}
