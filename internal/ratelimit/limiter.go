package ratelimit

import (
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// maxLimit is the limit from which on a target counts as unlimited; no target gets so many requests a second.
const maxLimit chestnutroad.RequestRate = 1e6

// rounding is the relative deviation up to which two limits are the same: messages between hosts carry limits rounded to steps of
// 1 %.
const rounding = 0.01

// Statement is what an answer of a target states about its limit.
type Statement struct {
	// Limit is the limit in force; zero when the answer states none.
	Limit chestnutroad.RequestRate
	// Invalid is true when the answer states a limit that is no positive number. It neither changes nor ends a limit.
	Invalid bool
}

// Change is the start, the change or the end of a limit.
type Change struct {
	Changed bool
	// Before and After are the limits; zero stands for none.
	Before, After chestnutroad.RequestRate
}

// Limiter holds, for one host, the limits of targets and the requests against them. It is not safe for concurrent use.
type Limiter struct {
	hosts int
	// ignoreStated is true when limits that targets state are not enforced.
	ignoreStated bool
	targets      map[chestnutroad.TargetHash]*target
}

// New returns a limiter that knows of no limit.
func New() *Limiter { return &Limiter{hosts: 1, targets: map[chestnutroad.TargetHash]*target{}} }

// SetHostCount sets the number of hosts that are assumed to send like this one while nothing is known of them.
func (lm *Limiter) SetHostCount(count int) { lm.hosts = max(1, count) }

// HostCount returns the number of hosts that share the limits.
func (lm *Limiter) HostCount() int { return lm.hosts }

// Observe records the statement of an answer of an incarnation of a target that this host received, and returns how it changed the
// limit.
func (lm *Limiter) Observe(
	now time.Time, hash chestnutroad.TargetHash, incarnation chestnutroad.Incarnation, statement Statement,
) Change {
	if statement.Invalid {
		return Change{}
	}
	change := lm.state(now, now, hash, statement.Limit)
	if tg := lm.targets[hash]; tg != nil {
		tg.incarnation = incarnation
		if change.Changed {
			tg.ownStatementAt = now
		}
	}
	return change
}

// Register forgets the limit of another incarnation of a target that is registered now. An incarnation that was only registered
// again, after an outage of the store, keeps its limit.
func (lm *Limiter) Register(hash chestnutroad.TargetHash, incarnation chestnutroad.Incarnation) {
	if tg := lm.targets[hash]; tg != nil && tg.incarnation != incarnation {
		delete(lm.targets, hash)
	}
}

// state applies a limit, or none, that was stated at a time.
func (lm *Limiter) state(now, statedAt time.Time, hash chestnutroad.TargetHash, limit chestnutroad.RequestRate) Change {
	if limit >= maxLimit {
		limit = 0
	}
	tg := lm.targets[hash]
	if tg == nil {
		if limit <= 0 {
			return Change{}
		}
		tg = &target{ignoreStated: lm.ignoreStated}
		lm.targets[hash] = tg
	}
	if statedAt.Before(tg.statedAt) {
		return Change{}
	}
	tg.statedAt = statedAt
	before := tg.limit
	if math.Abs(float64(limit-before)) <= rounding*float64(before) {
		return Change{}
	}
	limited := tg.effective() > 0
	tg.limit = limit
	if !limited && tg.effective() > 0 {
		tg.start(now)
	}
	return Change{Changed: true, Before: before, After: limit}
}

// Limit returns the limit that a target stated; zero when it has none.
func (lm *Limiter) Limit(hash chestnutroad.TargetHash) chestnutroad.RequestRate {
	if tg := lm.targets[hash]; tg != nil {
		return tg.limit
	}
	return 0
}

// Decision is the outcome of Admit with its inputs.
type Decision struct {
	Admitted bool
	// Limit is the target's limit, the lower one if it is cold as well; the other fields are zero without one.
	Limit chestnutroad.RequestRate
	// Sent is the decayed number of requests that all hosts sent to the target, Wanted that of all requests for which it was
	// considered, and Share the share of requests of this class that is admitted.
	Sent, Wanted, Share float64
}

// Admit decides whether a request may be sent to a target, and counts it as demand for the target. The draw is a number in [0, 1)
// that depends on the request and the target only.
func (lm *Limiter) Admit(now time.Time, hash chestnutroad.TargetHash, class Class, draw float64) Decision {
	tg := lm.targets[hash]
	if tg == nil || tg.effective() <= 0 {
		return Decision{Admitted: true}
	}
	tg.wanted[class].increment(now, demandTime)
	sent, wanted := tg.sums(now, lm.hosts)
	decision := Decision{Limit: tg.effective(), Sent: sent, Share: share(tg.rate(sent), wanted, class)}
	for _, count := range wanted {
		decision.Wanted += count
	}
	decision.Admitted = draw < decision.Share
	return decision
}

// Limited returns the number of targets with a stated limit.
func (lm *Limiter) Limited() int {
	count := 0
	for _, tg := range lm.targets {
		if tg.limit > 0 {
			count++
		}
	}
	return count
}

// CountSent counts a request that is sent to a target.
func (lm *Limiter) CountSent(now time.Time, hash chestnutroad.TargetHash) {
	if tg := lm.targets[hash]; tg != nil && tg.effective() > 0 {
		tg.sent.increment(now, tg.sentTime())
	}
}
