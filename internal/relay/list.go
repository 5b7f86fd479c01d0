package relay

import (
	"slices"
	"strings"

	"github.com/chestnutroad/chestnutroad"
)

// TargetList is the order in which counts and notices are told: all targets that a host knows, by their ids.
//
// Hosts learn of changes at different moments, so that a message names its list by a digest. An offset of the records does
// not: two hosts may hold the same list at different offsets.
type TargetList struct {
	IDs    []chestnutroad.TargetID
	Digest uint64
}

// NewTargetList returns the list of the targets, which must be in order of their ids.
func NewTargetList(ids []chestnutroad.TargetID) *TargetList {
	var text strings.Builder
	for _, id := range ids {
		text.WriteString(string(id))
		text.WriteByte('\n')
	}
	return &TargetList{IDs: ids, Digest: chestnutroad.HashID(text.String())}
}

// keptLists is the number of latest lists that a host can read counts of: in a release each read of the targets, every 0.7 s,
// brings another one, and counts are believed for a second.
const keptLists = 8

// lists are the latest lists of a host, the current one last.
type lists []*TargetList

// add takes in the current list.
func (ls *lists) add(list *TargetList) {
	if list == nil || len(*ls) > 0 && (*ls)[len(*ls)-1].Digest == list.Digest {
		return
	}
	*ls = append(slices.DeleteFunc(*ls, func(one *TargetList) bool { return one.Digest == list.Digest }), list)
	*ls = (*ls)[max(0, len(*ls)-keptLists):]
}

// find returns the list with the digest, or nil when this host never held it.
func (ls lists) find(digest uint64) *TargetList {
	for _, list := range ls {
		if list.Digest == digest {
			return list
		}
	}
	return nil
}

// View is what hosts say of the targets of a list, in its order.
type View struct {
	List   *TargetList
	Counts []byte
	// Notices are nil when no target said anything.
	Notices []Notice
}

// in returns the view in the order of another list, without the targets that are not in it.
func (vw *View) in(list *TargetList) *View {
	if vw.List.Digest == list.Digest {
		return vw
	}
	return &View{List: list, Counts: vw.reorder(vw.Counts, list), Notices: vw.reorder(vw.Notices, list)}
}

// reorder returns the bytes of the view in the order of another list, or nil when there are none.
func (vw *View) reorder(data []byte, list *TargetList) []byte {
	if len(data) == 0 {
		return nil
	}
	ordered := make([]byte, len(list.IDs))
	for index, id := range vw.List.IDs[:min(len(data), len(vw.List.IDs))] {
		if place, found := slices.BinarySearch(list.IDs, id); found {
			ordered[place] = data[index]
		}
	}
	return ordered
}

// clone returns a copy whose counts can be changed.
func (vw *View) clone() *View {
	return &View{List: vw.List, Counts: slices.Clone(vw.Counts), Notices: vw.Notices}
}

// add adds what another view says.
func (vw *View) add(other *View) {
	same := other.in(vw.List)
	for index := range min(len(vw.Counts), len(same.Counts)) {
		vw.Counts[index] = byte(min(MaxCount, int(vw.Counts[index])+int(same.Counts[index])))
	}
	vw.Notices = mergeNotices(vw.Notices, same.Notices)
}
