package chestnutroad

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Era counts how often the platform's store has come back from an older copy of itself. A store that doesn't state it is in
// era zero.
type Era uint64

// Position is an offset in a stream of one era of the store. After the store came back from an older copy it gives offsets
// out again, so that an offset alone does not say which record it is of.
type Position struct {
	Era    Era
	Offset Offset
}

// Compare returns -1, 0 or 1 as ps is before, equal to or after other; any position of an era is after those of earlier ones.
func (ps Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(ps.Era, other.Era), cmp.Compare(ps.Offset, other.Offset))
}

// After reports whether ps is after other.
func (ps Position) After(other Position) bool { return ps.Compare(other) > 0 }

// Add returns the position so many records later.
func (ps Position) Add(records Offset) Position {
	return Position{Era: ps.Era, Offset: ps.Offset + records}
}

// String returns the position as era/offset.
func (ps Position) String() string { return fmt.Sprintf("%d/%d", ps.Era, ps.Offset) }

// MarshalText returns the position as era/offset.
func (ps Position) MarshalText() ([]byte, error) { return []byte(ps.String()), nil }

// UnmarshalText reads a position that is written as era/offset.
func (ps *Position) UnmarshalText(text []byte) error {
	era, offset, _ := strings.Cut(string(text), "/")
	number, err1 := strconv.ParseUint(era, 10, 64)
	count, err2 := strconv.ParseInt(offset, 10, 64)
	if err1 != nil || err2 != nil || count < 0 {
		return errors.Newf("%q is no position", text)
	}
	*ps = Position{Era: Era(number), Offset: Offset(count)}
	return nil
}
