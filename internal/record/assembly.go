package record

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// maxAssemblies bounds the memory for snapshots of which some parts are missing.
const maxAssemblies = 4

// assembly collects the parts of one snapshot.
type assembly struct {
	id     snapshotID
	pieces [][]byte
	seen   []bool
	left   int
}

func newAssembly(id snapshotID) *assembly {
	return &assembly{id: id, pieces: make([][]byte, id.parts), seen: make([]bool, id.parts), left: id.parts}
}

// add stores the part and reports whether it was the last one missing.
func (as *assembly) add(part *SnapshotPart, keep bool) bool {
	if as.seen[part.Part] {
		return false
	}
	as.seen[part.Part] = true
	as.left--
	if keep {
		as.pieces[part.Part] = part.Piece
	}
	return as.left == 0
}

// payload returns the state in the complete snapshot.
func (as *assembly) payload() ([]byte, error) {
	packed := bytes.Join(as.pieces, nil)
	if xxhash.Sum64(packed) != as.id.checksum {
		return nil, errors.Newf("snapshot through offset %d has a wrong checksum", as.id.through)
	}
	return decompress(packed)
}

// assemblies holds the snapshots whose parts are being read.
type assemblies []*assembly

// of returns the assembly of the snapshot; the one with the lowest Through makes room when there are too many.
func (am *assemblies) of(id snapshotID) *assembly {
	for _, as := range *am {
		if as.id == id {
			return as
		}
	}
	as := newAssembly(id)
	*am = append(*am, as)
	if len(*am) > maxAssemblies {
		am.remove(am.lowest())
	}
	return as
}

func (am *assemblies) lowest() *assembly {
	low := (*am)[0]
	for _, as := range *am {
		if as.id.through < low.id.through {
			low = as
		}
	}
	return low
}

func (am *assemblies) remove(gone *assembly) {
	am.keep(func(as *assembly) bool { return as != gone })
}

// dropBefore forgets the snapshots that can't become a base since records after them are gone.
func (am *assemblies) dropBefore(oldest chestnutroad.Offset) {
	am.keep(func(as *assembly) bool { return as.id.through+1 >= oldest })
}

func (am *assemblies) keep(wanted func(*assembly) bool) {
	kept := make(assemblies, 0, len(*am))
	for _, as := range *am {
		if wanted(as) {
			kept = append(kept, as)
		}
	}
	*am = kept
}
