package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	defaultMultiple      = 1.25
	defaultSummaryMaxAge = time.Second
	defaultSlowStart     = 30 * time.Second
	defaultQueueLimit    = 1000
	defaultTakeoverDelay = 1500 * time.Millisecond
	defaultTableLimit    = 200_000
	defaultReservedShare = 0.2
	defaultHeadroom      = 0.8
	defaultAffinityWait  = time.Second
	defaultEjectLimit    = 0.3
	defaultSlots         = 128
	defaultTeamWeight    = 1.0
)

// settings holds the values that options change.
type settings struct {
	multiple      float64
	loadFloor     chestnutroad.WorkUnits
	summaryMaxAge time.Duration
	slowStart     time.Duration
	queueLimit    int
	takeoverDelay time.Duration
	tableLimit    int
	reservedShare float64
	headroom      float64
	affinityWait  time.Duration
	ejectLimit    float64
	slots         int
	reports       bool
	moves         bool
	teamWeights   map[chestnutroad.TeamID]float64
}

func defaultSettings() settings {
	return settings{
		multiple:      defaultMultiple,
		summaryMaxAge: defaultSummaryMaxAge,
		slowStart:     defaultSlowStart,
		queueLimit:    defaultQueueLimit,
		takeoverDelay: defaultTakeoverDelay,
		tableLimit:    defaultTableLimit,
		reservedShare: defaultReservedShare,
		headroom:      defaultHeadroom,
		affinityWait:  defaultAffinityWait,
		ejectLimit:    defaultEjectLimit,
		slots:         defaultSlots,
		reports:       true,
		moves:         true,
		teamWeights:   map[chestnutroad.TeamID]float64{},
	}
}

// Option changes one setting of an Owner.
type Option func(*settings)

// Multiple sets how many times the pool's mean load one target may carry (default 1.25).
func Multiple(multiple float64) Option {
	return func(st *settings) { st.multiple = max(1, multiple) }
}

// LoadFloor sets the load in work units below which a target is never called overloaded (default 0).
//
// The floor keeps a small mean from stopping the pool: targets that carry L equal requests each can take another one only
// if L is at least 1/(Headroom*(Multiple-1)) or the load stays below the floor. Without a floor a target at or below the
// mean may take one more request of any size.
func LoadFloor(floor chestnutroad.WorkUnits) Option {
	return func(st *settings) { st.loadFloor = max(0, floor) }
}

// SummaryMaxAge sets the age from which another shard's summary is left out together with its targets (default 1 s).
func SummaryMaxAge(age time.Duration) Option {
	return func(st *settings) { st.summaryMaxAge = age }
}

// SlowStart sets the time in which a new target's weight grows from zero to one (default 30 s).
func SlowStart(duration time.Duration) Option {
	return func(st *settings) { st.slowStart = duration }
}

// QueueLimit sets the most requests that wait in the shard (default 1,000).
func QueueLimit(requests int) Option {
	return func(st *settings) { st.queueLimit = max(0, requests) }
}

// TakeoverDelay sets how long a new owner without its predecessor's state stays below the floor (default 1.5 s).
func TakeoverDelay(delay time.Duration) Option {
	return func(st *settings) { st.takeoverDelay = delay }
}

// TableLimit sets the most chats in the placement table (default 200,000).
func TableLimit(chats int) Option {
	return func(st *settings) { st.tableLimit = max(1, chats) }
}

// ReservedShare sets the share of each target's slots that only orders and lookups use (default 0.2).
func ReservedShare(share float64) Option {
	return func(st *settings) { st.reservedShare = min(1, max(0, share)) }
}

// Headroom sets the part of the way from the mean to the bound that admissions use, from 0 to 1 (default 0.8).
func Headroom(share float64) Option {
	return func(st *settings) { st.headroom = min(1, max(0, share)) }
}

// AffinityWait sets how long a returning chat waits for the target that has its context (default 1 s).
func AffinityWait(wait time.Duration) Option {
	return func(st *settings) { st.affinityWait = max(0, wait) }
}

// EjectLimit sets the largest share of the shard's targets that failures may eject at one time (default 0.3).
func EjectLimit(share float64) Option {
	return func(st *settings) { st.ejectLimit = min(1, max(0, share)) }
}

// Slots sets the most requests that a target runs at once where the target list names no number (default 128).
func Slots(requests int) Option {
	return func(st *settings) { st.slots = max(1, requests) }
}

// Reports says whether the targets report their load (default true); plain services don't.
func Reports(reports bool) Option {
	return func(st *settings) { st.reports = reports }
}

// Moves says whether running streams are moved when departures leave a target above the bound (default true).
func Moves(moves bool) Option {
	return func(st *settings) { st.moves = moves }
}

// TeamWeight sets the weight of one team's share (default 1).
func TeamWeight(team chestnutroad.TeamID, weight float64) Option {
	return func(st *settings) {
		if weight > 0 {
			st.teamWeights[team] = weight
		}
	}
}

func (st *settings) teamWeight(team chestnutroad.TeamID) float64 {
	if weight, found := st.teamWeights[team]; found {
		return weight
	}
	return defaultTeamWeight
}

// SubmitOption adds to a submitted request what its earlier attempts left.
type SubmitOption func(*request)

// Resumed says that the caller already has that many tokens of the answer from an attempt through another owner.
func Resumed(sent chestnutroad.Tokens) SubmitOption {
	return func(rq *request) {
		rq.resume = true
		rq.ran = true
		rq.sent = sent
	}
}

// Redirected says how many redirects the request has followed.
func Redirected(redirects int) SubmitOption {
	return func(rq *request) { rq.redirects = redirects }
}
