package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
)

// A datagram is a code, a stamp and an encoded message. The code covers the receiver's id, the stamp and the message.
// The stamp is the sender's clock in nanoseconds, raised so that no two datagrams have the same.
const (
	macSize  = sha256.Size
	stampSize = 8
	// maxSkew is the most by which a stamp may differ from the receiver's clock. It bounds how long a recorded datagram
	// can be replayed to a host that has restarted and forgotten which stamps it has seen.
	maxSkew = 30 * time.Second
	// replayWindowSize is the number of stamps remembered for each sender; datagrams overtake each other by far less.
	replayWindowSize = 64
)

const datagramContext = "chestnutroad datagram"

// rejection is the reason for which a datagram was dropped.
type rejection string

const (
	rejectedOversize  rejection = "Oversize"
	rejectedForged    rejection = "Forged"
	rejectedStale     rejection = "Stale"
	rejectedReplayed  rejection = "Replayed"
	rejectedMalformed rejection = "Malformed"
)

var rejections = []rejection{rejectedOversize, rejectedForged, rejectedStale, rejectedReplayed, rejectedMalformed}

// seal returns the datagram of an encoded message.
func seal(key []byte, to chestnutroad.HostID, stamp int64, message []byte) []byte {
	datagram := make([]byte, macSize, macSize+stampSize+len(message))
	datagram = binary.BigEndian.AppendUint64(datagram, uint64(stamp))
	datagram = append(datagram, message...)
	copy(datagram, datagramMAC(key, to, datagram[macSize:]))
	return datagram
}

func datagramMAC(key []byte, to chestnutroad.HostID, stamped []byte) []byte {
	return computeMAC(key, []byte(datagramContext), []byte(to), stamped)
}

// opener checks the datagrams that arrive at one host.
type opener struct {
	key  []byte
	self chestnutroad.HostID
	seen map[chestnutroad.HostID]*stampWindow
}

// open returns the message of a datagram, or why it is dropped.
func (op *opener) open(now time.Time, datagram []byte) (member.Message, rejection) {
	if len(datagram) > member.MaxDatagram {
		return member.Message{}, rejectedOversize
	}
	if len(datagram) < macSize+stampSize {
		return member.Message{}, rejectedForged
	}
	if !hmac.Equal(datagram[:macSize], datagramMAC(op.key, op.self, datagram[macSize:])) {
		return member.Message{}, rejectedForged
	}
	stamp := int64(binary.BigEndian.Uint64(datagram[macSize:]))
	if now.Sub(time.Unix(0, stamp)).Abs() > maxSkew {
		return member.Message{}, rejectedStale
	}
	message, err := member.Decode(datagram[macSize+stampSize:])
	if err != nil {
		return member.Message{}, rejectedMalformed
	}
	if !op.window(now, message.From.ID).accept(stamp) {
		return member.Message{}, rejectedReplayed
	}
	return message, ""
}

func (op *opener) window(now time.Time, from chestnutroad.HostID) *stampWindow {
	window := op.seen[from]
	if window == nil {
		op.evictStale(now)
		window = &stampWindow{}
		op.seen[from] = window
	}
	return window
}

// evictStale drops the windows of senders whose stamps have all become stale.
func (op *opener) evictStale(now time.Time) {
	for from, window := range op.seen {
		if now.Sub(time.Unix(0, window.highest())) > 2*maxSkew {
			delete(op.seen, from)
		}
	}
}

// stampWindow holds the highest stamps accepted from one sender, in order.
type stampWindow struct {
	stamps []int64
}

func (wd *stampWindow) highest() int64 { return wd.stamps[len(wd.stamps)-1] }

// accept reports whether the stamp is new; one below a full window counts as seen.
func (wd *stampWindow) accept(stamp int64) bool {
	index, seen := slices.BinarySearch(wd.stamps, stamp)
	full := len(wd.stamps) == replayWindowSize
	if seen || full && index == 0 {
		return false
	}
	wd.stamps = slices.Insert(wd.stamps, index, stamp)
	if full {
		wd.stamps = slices.Delete(wd.stamps, 0, 1)
	}
	return true
}
