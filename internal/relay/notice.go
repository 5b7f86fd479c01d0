package relay

import (
	"slices"
	"time"
)

// Notice tells other hosts in a byte what a target said of itself; zero is nothing.
type Notice = byte

const (
	// Leaving is the notice of a target that leaves.
	Leaving Notice = 255
	// noticeStep is the unit of the time for which a target wants no requests, and longestNotice the most units told;
	// what is longer is told again with each message.
	noticeStep    = 250 * time.Millisecond
	longestNotice = 254
)

// NewNotice returns the notice of a target that wants no requests for so long; it never tells less.
func NewNotice(hold time.Duration) Notice {
	if hold <= 0 {
		return 0
	}
	return Notice(min(longestNotice, (hold+noticeStep-1)/noticeStep))
}

// NoticeHold returns the time for which a target wants no requests by a notice.
func NoticeHold(notice Notice) time.Duration {
	if notice == Leaving {
		return 0
	}
	return time.Duration(notice) * noticeStep
}

// mergeNotices returns the stronger notice for each target; nil stands for none at all.
func mergeNotices(one, two []Notice) []Notice {
	if len(one) < len(two) {
		one, two = two, one
	}
	if len(two) == 0 {
		return one
	}
	merged := slices.Clone(one)
	for index, notice := range two {
		merged[index] = max(merged[index], notice)
	}
	return merged
}
