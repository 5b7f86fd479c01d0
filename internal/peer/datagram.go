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

// A datagram consists of a MAC, a stamp and an encoded message. The MAC covers the receiver's id, the stamp and the
// message. The stamp is the sender's clock in nanoseconds, increased where needed to be unique for each datagram.
const (
	macSize   = sha256.Size
	stampSize = 8
	// maxSkew is the maximum difference between a stamp and the receiver's clock. It limits how long a recorded datagram
	// can be replayed to a host that has lost its record of accepted stamps in a restart.
	maxSkew = 30 * time.Second
	// replayWindowSize is the number of stamps remembered for each sender; datagrams are reordered by far less.
	replayWindowSize = 64
)

const datagramContext = "chestnutroad datagram"

// rejection is the reason for dropping a received datagram; it is a metric label.
type rejection string

const (
	rejectedOversize  rejection = "Oversize"
	rejectedForged    rejection = "Forged"
	rejectedStale     rejection = "Stale"
	rejectedReplayed  rejection = "Replayed"
	rejectedMalformed rejection = "Malformed"
)

var rejections = []rejection{rejectedOversize, rejectedForged, rejectedStale, rejectedReplayed, rejectedMalformed}

// seal returns an authenticated datagram that carries the encoded message to the host.
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

// opener authenticates the datagrams received by one host and detects replays.
type opener struct {
	key  []byte
	self chestnutroad.HostID
	seen map[chestnutroad.HostID]*stampWindow
}

// open verifies a datagram and returns its message, or the reason for rejecting it.
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

// window returns the replay window of a sender, and creates it if needed.
func (op *opener) window(now time.Time, from chestnutroad.HostID) *stampWindow {
	window := op.seen[from]
	if window == nil {
		op.evictStale(now)
		window = &stampWindow{}
		op.seen[from] = window
	}
	return window
}

// evictStale removes the windows of senders whose remembered stamps would all be rejected as stale.
func (op *opener) evictStale(now time.Time) {
	for from, window := range op.seen {
		if now.Sub(time.Unix(0, window.highest())) > 2*maxSkew {
			delete(op.seen, from)
		}
	}
}

// stampWindow is the replay window of one sender: the highest stamps accepted from it, in ascending order.
type stampWindow struct {
	stamps []int64
}

func (wd *stampWindow) highest() int64 { return wd.stamps[len(wd.stamps)-1] }

// accept records the stamp and reports whether it is new; a stamp lower than all those in a full window is rejected.
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
