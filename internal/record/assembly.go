package record

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// maxAssemblies bounds the number of incomplete snapshots, whose parts are held in memory.
const maxAssemblies = 4

// assembly collects the parts of one snapshot.
type assembly struct {
	id       snapshotID
	pieces   [][]byte
	received []bool
	// missing is the number of parts that have not been read yet.
	missing int
}

func newAssembly(id snapshotID) *assembly {
	return &assembly{id: id, pieces: make([][]byte, id.parts), received: make([]bool, id.parts), missing: id.parts}
}

// add marks the part as received and reports whether it was the last one missing. The part's data is stored only if store is
// true, since a reader with a base needs to know just that the snapshot is complete.
func (as *assembly) add(part *SnapshotPart, store bool) bool {
	if as.received[part.Part] {
		return false
	}
	as.received[part.Part] = true
	as.missing--
	if store {
		as.pieces[part.Part] = part.Piece
	}
	return as.missing == 0
}

// payload returns the decompressed payload of a complete snapshot whose parts were stored.
func (as *assembly) payload() ([]byte, error) {
	compressed := bytes.Join(as.pieces, nil)
	if xxhash.Sum64(compressed) != as.id.checksum {
		return nil, errors.Newf("checksum mismatch in the snapshot through offset %d", as.id.through)
	}
	return decompress(compressed)
}

// assemblies holds the incomplete snapshots.
type assemblies []*assembly

// getOrCreate returns the assembly of the snapshot. Beyond maxAssemblies it evicts the one with the lowest Through, which may
// be the one returned.
func (am *assemblies) getOrCreate(id snapshotID) *assembly {
	for _, as := range *am {
		if as.id == id {
			return as
		}
	}
	as := newAssembly(id)
	*am = append(*am, as)
	if len(*am) > maxAssemblies {
		am.remove(am.lowestThrough())
	}
	return as
}

// lowestThrough returns the assembly of the snapshot with the lowest Through.
func (am *assemblies) lowestThrough() *assembly {
	lowest := (*am)[0]
	for _, as := range *am {
		if as.id.through < lowest.id.through {
			lowest = as
		}
	}
	return lowest
}

func (am *assemblies) remove(removed *assembly) {
	am.retain(func(as *assembly) bool { return as != removed })
}

// dropBefore removes the snapshots that can't become a base because records that follow them have expired.
func (am *assemblies) dropBefore(oldest chestnutroad.Offset) {
	am.retain(func(as *assembly) bool { return as.id.through+1 >= oldest })
}

func (am *assemblies) retain(predicate func(*assembly) bool) {
	retained := make(assemblies, 0, len(*am))
	for _, as := range *am {
		if predicate(as) {
			retained = append(retained, as)
		}
	}
	*am = retained
}
