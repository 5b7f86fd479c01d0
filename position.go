package chestnutroad

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Era counts how often the platform's store was restored from an older copy. A store that does not state its era is in era
// zero.
type Era uint64

// Position is an offset in a stream together with the era of the store. A store that was restored from an older copy assigns
// the offsets after the copy again, so that an offset alone does not identify a record.
type Position struct {
	Era    Era
	Offset Offset
}

// Compare returns -1, 0 or 1 as ps is before, equal to or after other; all positions of an era are after those of earlier eras.
func (ps Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(ps.Era, other.Era), cmp.Compare(ps.Offset, other.Offset))
}

// After reports whether ps is after other.
func (ps Position) After(other Position) bool { return ps.Compare(other) > 0 }

// Add returns the position that is the given number of records after ps.
func (ps Position) Add(records Offset) Position {
	return Position{Era: ps.Era, Offset: ps.Offset + records}
}

// String formats the position as era/offset.
func (ps Position) String() string { return fmt.Sprintf("%d/%d", ps.Era, ps.Offset) }

// MarshalText formats the position as era/offset.
func (ps Position) MarshalText() ([]byte, error) { return []byte(ps.String()), nil }

// UnmarshalText parses a position that is written as era/offset.
func (ps *Position) UnmarshalText(text []byte) error {
	eraText, offsetText, _ := strings.Cut(string(text), "/")
	era, eraErr := strconv.ParseUint(eraText, 10, 64)
	offset, offsetErr := strconv.ParseInt(offsetText, 10, 64)
	if eraErr != nil || offsetErr != nil || offset < 0 {
		return errors.Newf("invalid position %q, want era/offset", text)
	}
	*ps = Position{Era: Era(era), Offset: Offset(offset)}
	return nil
}
