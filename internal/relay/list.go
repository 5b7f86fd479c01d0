package relay

import (
	"slices"
	"strings"

	"github.com/chestnutroad/chestnutroad"
)

// TargetList is the order of the counts and notices in a message: all targets that a host has, sorted by id.
//
// Hosts learn of changed targets at different times, so a message identifies its list by a digest. An offset in the records
// can't identify a list: two hosts may hold the same list at different offsets.
type TargetList struct {
	IDs    []chestnutroad.TargetID
	Digest uint64
}

// NewTargetList returns the list of the targets, whose ids must be sorted.
func NewTargetList(ids []chestnutroad.TargetID) *TargetList {
	var text strings.Builder
	for _, id := range ids {
		text.WriteString(string(id))
		text.WriteByte('\n')
	}
	return &TargetList{IDs: ids, Digest: chestnutroad.HashID(text.String())}
}

// maxLists is the number of recent lists whose counts a host can decode. During a rollout each read of the targets, every
// 0.7 s, may produce a new list, and counts are used for one second.
const maxLists = 8

// listHistory holds the most recent lists of a host, the current one last.
type listHistory []*TargetList

// add makes the list the current one and drops the oldest list beyond maxLists.
func (lh *listHistory) add(list *TargetList) {
	if list == nil || len(*lh) > 0 && (*lh)[len(*lh)-1].Digest == list.Digest {
		return
	}
	*lh = append(slices.DeleteFunc(*lh, func(other *TargetList) bool { return other.Digest == list.Digest }), list)
	*lh = (*lh)[max(0, len(*lh)-maxLists):]
}

// find returns the list with the digest, or nil when it is not among the recent lists.
func (lh listHistory) find(digest uint64) *TargetList {
	for _, list := range lh {
		if list.Digest == digest {
			return list
		}
	}
	return nil
}

// View holds the request counts and the notices of the targets of a list, in its order.
type View struct {
	List   *TargetList
	Counts []byte
	// Notices is nil when no target has a notice.
	Notices []Notice
}

// alignTo returns the view in the order of another list, without the targets that are not in that list.
func (vw *View) alignTo(list *TargetList) *View {
	if vw.List.Digest == list.Digest {
		return vw
	}
	return &View{List: list, Counts: vw.reorder(vw.Counts, list), Notices: vw.reorder(vw.Notices, list)}
}

// reorder returns data, one byte per target of the view, in the order of another list, or nil when data is empty.
func (vw *View) reorder(data []byte, list *TargetList) []byte {
	if len(data) == 0 {
		return nil
	}
	ordered := make([]byte, len(list.IDs))
	for index, id := range vw.List.IDs[:min(len(data), len(vw.List.IDs))] {
		if position, found := slices.BinarySearch(list.IDs, id); found {
			ordered[position] = data[index]
		}
	}
	return ordered
}

// clone returns a copy whose counts may be modified; the notices are shared.
func (vw *View) clone() *View {
	return &View{List: vw.List, Counts: slices.Clone(vw.Counts), Notices: vw.Notices}
}

// add adds the counts of another view, each sum capped at MaxCount, and merges its notices.
func (vw *View) add(other *View) {
	aligned := other.alignTo(vw.List)
	for index := range min(len(vw.Counts), len(aligned.Counts)) {
		vw.Counts[index] = byte(min(MaxCount, int(vw.Counts[index])+int(aligned.Counts[index])))
	}
	vw.Notices = mergeNotices(vw.Notices, aligned.Notices)
}
