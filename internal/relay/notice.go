package relay

import (
	"slices"
	"time"
)

// Notice is what a target announced about itself, in the byte that hosts send each other; zero means no announcement.
type Notice = byte

const (
	// Leaving is the notice of a target that leaves.
	Leaving Notice = 255
	// noticeUnit is the unit of the time for which a target wants no requests, and maxNoticeUnits the highest number of
	// units sent. A longer time is capped; each later message carries what then remains of it.
	noticeUnit     = 250 * time.Millisecond
	maxNoticeUnits = 254
)

// NewNotice returns the notice of a target that wants no requests for the time hold, rounded up to a whole unit.
func NewNotice(hold time.Duration) Notice {
	if hold <= 0 {
		return 0
	}
	return Notice(min(maxNoticeUnits, (hold+noticeUnit-1)/noticeUnit))
}

// NoticeHold returns the time for which a target wants no requests according to its notice; it is zero for Leaving.
func NoticeHold(notice Notice) time.Duration {
	if notice == Leaving {
		return 0
	}
	return time.Duration(notice) * noticeUnit
}

// mergeNotices returns the higher notice for each target; nil stands for no notices at all.
func mergeNotices(a, b []Notice) []Notice {
	if len(a) < len(b) {
		a, b = b, a
	}
	if len(b) == 0 {
		return a
	}
	merged := slices.Clone(a)
	for index, notice := range b {
		merged[index] = max(merged[index], notice)
	}
	return merged
}
