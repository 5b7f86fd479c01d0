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

// settings holds the values that options set.
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

// Multiple sets the multiple of the pool's mean load that one target may carry (default 1.25).
func Multiple(multiple float64) Option {
	return func(st *settings) { st.multiple = max(1, multiple) }
}

// LoadFloor sets the load in work units up to which a target is never above the bound (default 0).
//
// The floor keeps a pool with a small mean from blocking: targets that carry L equal requests each can admit another
// one only if L is at least 1/(Headroom*(Multiple-1)) or the load stays within the floor. Without a floor, a target at
// or below the mean may admit one more request of any size.
func LoadFloor(floor chestnutroad.WorkUnits) Option {
	return func(st *settings) { st.loadFloor = max(0, floor) }
}

// SummaryMaxAge sets the age beyond which another shard's summary is ignored together with its targets (default 1 s).
func SummaryMaxAge(age time.Duration) Option {
	return func(st *settings) { st.summaryMaxAge = age }
}

// SlowStart sets the time in which a new target's weight grows from zero to one (default 30 s).
func SlowStart(duration time.Duration) Option {
	return func(st *settings) { st.slowStart = duration }
}

// QueueLimit sets the number of requests that may wait in the shard (default 1,000).
func QueueLimit(requests int) Option {
	return func(st *settings) { st.queueLimit = max(0, requests) }
}

// TakeoverDelay sets how long a new owner without the former owner's state admits only up to the floor (default 1.5 s).
func TakeoverDelay(delay time.Duration) Option {
	return func(st *settings) { st.takeoverDelay = delay }
}

// TableLimit sets the number of chats in the placement table (default 200,000).
func TableLimit(chats int) Option {
	return func(st *settings) { st.tableLimit = max(1, chats) }
}

// ReservedShare sets the share of each target's slots that is reserved for orders and lookups (default 0.2).
func ReservedShare(share float64) Option {
	return func(st *settings) { st.reservedShare = min(1, max(0, share)) }
}

// Headroom sets how far from the mean (0) to the bound (1) admissions may raise a target's load (default 0.8).
func Headroom(share float64) Option {
	return func(st *settings) { st.headroom = min(1, max(0, share)) }
}

// AffinityWait sets how long a returning chat waits for the target that holds its context (default 1 s).
func AffinityWait(wait time.Duration) Option {
	return func(st *settings) { st.affinityWait = max(0, wait) }
}

// EjectLimit sets the largest share of the shard's targets that may be ejected at one time (default 0.3).
func EjectLimit(share float64) Option {
	return func(st *settings) { st.ejectLimit = min(1, max(0, share)) }
}

// Slots sets the number of requests that a target runs at once when the target list gives none (default 128).
func Slots(requests int) Option {
	return func(st *settings) { st.slots = max(1, requests) }
}

// Reports sets whether the targets report their load (default true); plain services don't.
func Reports(reports bool) Option {
	return func(st *settings) { st.reports = reports }
}

// Moves sets whether running streams move off targets that departures leave above the bound (default true).
func Moves(moves bool) Option {
	return func(st *settings) { st.moves = moves }
}

// TeamWeight sets the weight of one team in fair queueing (default 1); weights that are not positive are ignored.
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

// SubmitOption adds the state of earlier attempts to a submitted request.
type SubmitOption func(*request)

// Resumed marks a request of which an attempt through another owner already sent the given tokens to the caller.
func Resumed(sent chestnutroad.Tokens) SubmitOption {
	return func(rq *request) {
		rq.resume = true
		rq.mayHaveRun = true
		rq.sent = sent
	}
}

// Redirected sets the number of redirects that the request has followed.
func Redirected(redirects int) SubmitOption {
	return func(rq *request) { rq.redirects = redirects }
}
