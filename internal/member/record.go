package member

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutroad/chestnutroad"
)

// RecordKind says which fact a record states.
type RecordKind int

// The kinds of record.
const (
	// RecordHost states a host's incarnation and state.
	RecordHost RecordKind = iota + 1
	// RecordLeaving states whether a listed machine, router or target, is leaving.
	RecordLeaving
	// RecordEpoch states the highest known epoch of a shard.
	RecordEpoch
	// RecordVersion states the highest known configuration version and its offset in the log.
	RecordVersion
)

// Record is one fact that spreads between members; which fields are set depends on Kind.
type Record struct {
	Kind    RecordKind
	Host    Host
	State   State
	Leaving bool
	// Name is the machine of a RecordLeaving.
	Name string
	// Stamp orders the records about one machine; the highest one holds.
	Stamp   int64
	Shard   chestnutroad.ShardID
	Epoch   chestnutroad.Epoch
	Version chestnutroad.Version
	Offset  chestnutroad.Offset
}

// key names the subject of the record; a later record with the same key replaces an earlier one.
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

// recordHash returns the hash of a record's key and content that goes into the digest of its bucket.
func recordHash(key, content string) uint32 { return uint32(xxhash.Sum64String(key + "\x00" + content)) }

func (en *hostEntry) digestHash() uint32 {
	if en.state == Dead || en.Incarnation == 0 {
		return 0
	}
	content := strconv.FormatUint(uint64(en.Incarnation), 36) + "/" + strconv.Itoa(int(en.state)) + strconv.FormatBool(en.leaving)
	return recordHash(string(en.ID), content)
}
