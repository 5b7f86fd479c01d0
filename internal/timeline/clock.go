package timeline

import (
	"cmp"
	"fmt"
	"sync"
	"time"
)

// Stamp is a timestamp of a hybrid logical clock.
type Stamp struct {
	// Physical is a Unix time in milliseconds.
	Physical int64
	// Logical orders stamps within one millisecond.
	Logical uint16
}

// Compare returns -1, 0 or 1 if st is before, equal to or after other.
func (st Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(st.Physical, other.Physical), cmp.Compare(st.Logical, other.Logical))
}

// next returns the smallest stamp after st; a full counter carries into the milliseconds.
func (st Stamp) next() Stamp {
	if st.Logical == 1<<16-1 {
		return Stamp{Physical: st.Physical + 1}
	}
	return Stamp{Physical: st.Physical, Logical: st.Logical + 1}
}

// logicalBits is the width of Stamp.Logical in a packed stamp.
const logicalBits = 16

// Pack encodes the stamp as one integer for messages to peers; packed stamps sort in the order of Compare.
func (st Stamp) Pack() uint64 { return uint64(st.Physical)<<logicalBits | uint64(st.Logical) }

// Unpack decodes a stamp encoded by Pack.
func Unpack(packed uint64) Stamp {
	return Stamp{Physical: int64(packed >> logicalBits), Logical: uint16(packed & (1<<logicalBits - 1))}
}

// String returns the UTC time and the counter, as in 2006-01-02T15:04:05.000Z+3.
func (st Stamp) String() string {
	return fmt.Sprintf("%s+%d", time.UnixMilli(st.Physical).UTC().Format("2006-01-02T15:04:05.000Z"), st.Logical)
}

// DefaultMaxAhead is the default limit for how far a peer's stamp may be ahead of the wall clock.
//
// Clock skew of minutes is expected. Without a limit, one corrupt stamp would set the clocks of all hosts ahead for good.
const DefaultMaxAhead = time.Hour

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu        sync.Mutex
	last      Stamp
	wallClock func() time.Time
	maxAhead  time.Duration
	ignored   uint64
}

// ClockOption configures a Clock.
type ClockOption func(*Clock)

// WithWallClock replaces time.Now as the source of physical time.
func WithWallClock(now func() time.Time) ClockOption {
	return func(ck *Clock) { ck.wallClock = now }
}

// WithMaxAhead sets the limit for how far a peer's stamp may be ahead of the wall clock.
func WithMaxAhead(limit time.Duration) ClockOption {
	return func(ck *Clock) { ck.maxAhead = limit }
}

// NewClock returns a clock that follows time.Now and has the limit DefaultMaxAhead, unless options change them.
func NewClock(options ...ClockOption) *Clock {
	ck := &Clock{wallClock: time.Now, maxAhead: DefaultMaxAhead}
	for _, option := range options {
		option(ck)
	}
	return ck
}

// Now returns a stamp later than every stamp that the clock has returned or accepted from a peer.
func (ck *Clock) Now() Stamp {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.last = ck.advance()
	return ck.last
}

// advance returns the wall clock's time if that is after the last stamp, and otherwise the stamp that follows the last one.
func (ck *Clock) advance() Stamp {
	wall := Stamp{Physical: ck.wallClock().UnixMilli()}
	if wall.Compare(ck.last) > 0 {
		return wall
	}
	return ck.last.next()
}

// Observe advances the clock to a peer's stamp, so that the stamps that Now returns are later than it. It ignores a stamp
// that is too far ahead of the wall clock and returns false.
func (ck *Clock) Observe(peer Stamp) bool {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	if peer.Physical > ck.wallClock().Add(ck.maxAhead).UnixMilli() {
		ck.ignored++
		return false
	}
	if peer.Compare(ck.last) > 0 {
		ck.last = peer
	}
	return true
}

// Ignored returns the number of peers' stamps that Observe ignored because they were too far ahead.
func (ck *Clock) Ignored() uint64 {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	return ck.ignored
}
