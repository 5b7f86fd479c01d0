package timeline

import (
	"cmp"
	"fmt"
	"sync"
	"time"
)

// Stamp is a time of a hybrid logical clock.
type Stamp struct {
	// Physical is a Unix time in milliseconds.
	Physical int64
	// Logical orders stamps of the same millisecond.
	Logical uint16
}

// Compare returns -1, 0 or 1 as st is before, equal to or after other.
func (st Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(st.Physical, other.Physical), cmp.Compare(st.Logical, other.Logical))
}

// next returns the smallest stamp after st.
func (st Stamp) next() Stamp {
	if st.Logical == 1<<16-1 {
		return Stamp{Physical: st.Physical + 1}
	}
	return Stamp{Physical: st.Physical, Logical: st.Logical + 1}
}

const logicalBits = 16

// Pack returns the stamp as one number for a message; packed stamps sort like stamps.
func (st Stamp) Pack() uint64 { return uint64(st.Physical)<<logicalBits | uint64(st.Logical) }

// Unpack returns the stamp of a packed number.
func Unpack(packed uint64) Stamp {
	return Stamp{Physical: int64(packed >> logicalBits), Logical: uint16(packed & (1<<logicalBits - 1))}
}

// String returns the stamp as a time in UTC and the counter.
func (st Stamp) String() string {
	return fmt.Sprintf("%s+%d", time.UnixMilli(st.Physical).UTC().Format("2006-01-02T15:04:05.000Z"), st.Logical)
}

// DefaultMaxAhead is how far a peer's stamp may be ahead of the wall clock.
//
// Clocks that differ by minutes are expected; without a limit, one damaged stamp would set the clocks of all hosts
// ahead for good.
const DefaultMaxAhead = time.Hour

// Clock is a hybrid logical clock; it is safe for concurrent use.
type Clock struct {
	mu       sync.Mutex
	last     Stamp
	wall     func() time.Time
	maxAhead time.Duration
	ignored  uint64
}

// ClockOption changes a Clock.
type ClockOption func(*Clock)

// WithWall replaces the wall clock.
func WithWall(wall func() time.Time) ClockOption {
	return func(ck *Clock) { ck.wall = wall }
}

// WithMaxAhead changes how far a peer's stamp may be ahead of the wall clock.
func WithMaxAhead(span time.Duration) ClockOption {
	return func(ck *Clock) { ck.maxAhead = span }
}

// NewClock returns a clock that starts at the wall clock's time.
func NewClock(options ...ClockOption) *Clock {
	ck := &Clock{wall: time.Now, maxAhead: DefaultMaxAhead}
	for _, option := range options {
		option(ck)
	}
	return ck
}

// Now returns a stamp after all stamps that the clock has given or seen.
func (ck *Clock) Now() Stamp {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.last = ck.advance()
	return ck.last
}

// advance returns the wall clock's time, or the next stamp when the wall clock is behind.
func (ck *Clock) advance() Stamp {
	wall := Stamp{Physical: ck.wall().UnixMilli()}
	if wall.Compare(ck.last) > 0 {
		return wall
	}
	return ck.last.next()
}

// Observe takes in a peer's stamp, so that later stamps of this clock come after it; it reports false for a stamp that is
// too far ahead and was ignored.
func (ck *Clock) Observe(peer Stamp) bool {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	if peer.Physical > ck.wall().Add(ck.maxAhead).UnixMilli() {
		ck.ignored++
		return false
	}
	if peer.Compare(ck.last) > 0 {
		ck.last = peer
	}
	return true
}

// Ignored returns the number of peers' stamps that were too far ahead.
func (ck *Clock) Ignored() uint64 {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	return ck.ignored
}
