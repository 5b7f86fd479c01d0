package admission

import (
	"fmt"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/decay"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

const (
	// outcomeTimeConstant is the time constant with which the counts of answers decay; a host sees about ten requests in
	// this time.
	outcomeTimeConstant = 2 * time.Second
	// demandTimeConstant is the time constant with which the counts of requests decay; it is short, so that refusals end
	// soon after a surge.
	demandTimeConstant = 500 * time.Millisecond
	// inTimeFactor is the number of requests admitted for each one answered in time; it is above one, so that a growing
	// capacity is found. lateFactor is the same for those answered late; it is below one, so that the queue in which they
	// waited becomes shorter.
	inTimeFactor = 1.2
	lateFactor   = 0.6
	// classTimeConstant is the time constant of the demand by class. A host gets about four requests in demandTimeConstant;
	// while these happen to be urgent ones only, others of them must not be refused in place of the less urgent ones that follow.
	classTimeConstant = 2 * time.Second
	// rankCount is the number of ranks; less urgent ones count as the last. classCount is the number of classes: the drop
	// precedences of each rank.
	rankCount  = 10
	classCount = rankCount * precedenceCount
	// pressureThreshold is the share of a service's slots in use up to which nothing is refused, even if answers are late;
	// from there to full use, refusals grow linearly.
	pressureThreshold = 0.8
	// minAdmitShare is the least admitted share of each class, as a part of the admitted share of all requests; it keeps
	// the classes that are refused first from starving. Every kind must be served at least a quarter as often as the mean.
	minAdmitShare = 0.4
	// minYieldShare is the same for classes that yield to last attempts of more urgent ranks.
	minYieldShare = 0.3
	// maxRefusalShare is the largest share of all requests that is refused; the rest shows whether there is room again.
	maxRefusalShare = 0.9
	// minOutcomes is the number of outcomes since the start below which nothing is refused; fewer say too little.
	minOutcomes = 8
)

// Throttle decides which requests of one engine service a host admits, by the recent outcomes of the host's own requests.
// Plain services need none: their targets refuse what they can't queue, which costs a caller a few milliseconds.
//
// The counts of requests at targets that hosts exchange are up to 0.4 s old. If all hosts admitted by these counts alone,
// they would all see a free slot at once and flood it, then all hold back, and a full service would answer late most of
// the time. The outcomes of a host's own requests have no such lag.
//
// Requests differ in the engine time that they cost (package work), so that demand and capacity are compared in work: one refused
// request with 11,800 prompt tokens frees as much as ten with 830. Work is in seconds of engine time; callers that don't know it
// use the same value for all requests.
//
// A Throttle is not safe for concurrent use.
type Throttle struct {
	// inTime and late are the decayed counts of answers, answered is their decayed work.
	inTime, late, answered float64
	// outcomes counts all outcomes since the start, without decay.
	outcomes int
	// recentDemand and recentRequests are the decayed work and count of all requests, refused ones included; demand and requests
	// are those of each class, which decay more slowly.
	recentDemand, recentRequests float64
	demand, requests             [classCount]float64
	// lateness is how late the answers of each rank were.
	lateness  latenessByRank
	updatedAt time.Time
	// withoutRanks disables mechanism.Ranks.
	withoutRanks bool
}

// NewThrottle returns a throttle without the disabled mechanisms.
func NewThrottle(disabled mechanism.Set) *Throttle {
	return &Throttle{withoutRanks: disabled.Off(mechanism.Ranks)}
}

func (th *Throttle) decayTo(now time.Time) {
	elapsed := now.Sub(th.updatedAt)
	th.updatedAt = now
	answerFactor := decay.Factor(elapsed, outcomeTimeConstant)
	th.inTime *= answerFactor
	th.late *= answerFactor
	th.answered *= answerFactor
	th.lateness.decay(answerFactor)
	requestFactor := decay.Factor(elapsed, demandTimeConstant)
	th.recentDemand *= requestFactor
	th.recentRequests *= requestFactor
	classFactor := requestFactor
	if !th.withoutRanks {
		classFactor = decay.Factor(elapsed, classTimeConstant)
	}
	for class := range th.demand {
		th.demand[class] *= classFactor
		th.requests[class] *= classFactor
	}
}

// Outcome is how an admitted request ended, as a sign of whether its service has room.
type Outcome int

// The outcomes.
const (
	// InTime means that the answer came in time.
	InTime Outcome = iota
	// Late means that the answer came late.
	Late
	// Shed means that the target refused the request, or that the caller gave up waiting.
	Shed
)

// Observe counts the outcome of an admitted request with the rank and the work.
func (th *Throttle) Observe(now time.Time, rank int, outcome Outcome, work float64) {
	th.decayTo(now)
	th.outcomes++
	th.lateness.observe(rank, outcome != InTime)
	switch outcome {
	case InTime:
		th.inTime++
		th.answered += work
	case Late:
		th.late++
		th.answered += work
	case Shed:
	}
}

// Decision is how a request was classified, and the share of such requests that is refused.
type Decision struct {
	Rank         int
	Precedence   DropPrecedence
	RefusedShare float64
	Admitted     bool
}

// Class names the request's class in logs.
func (dc *Decision) Class() string { return fmt.Sprintf("rank %d, %s", dc.Rank, dc.Precedence) }

// Admit counts a request with the work and decides whether it is admitted; use is the share of the service's slots in use, and
// the draw between 0 and 1 decides where a part of the class is refused.
func (th *Throttle) Admit(now time.Time, rank int, precedence DropPrecedence, work, use, draw float64) Decision {
	th.decayTo(now)
	class := classOf(rank, precedence)
	th.demand[class] += work
	th.requests[class]++
	th.recentDemand += work
	th.recentRequests++
	pressure := min(1, max(0, (use-pressureThreshold)/(1-pressureThreshold)))
	share := pressure * th.refusalShare(class)
	if !th.withoutRanks {
		share = max(share, th.lateRefusalShare(class, use))
	}
	return Decision{Rank: rank, Precedence: precedence, RefusedShare: share, Admitted: draw >= share}
}

// Protect returns LastAttempt for a request that would not be in time at a second attempt, if it costs no more work than the mean
// of the recent requests, or else the given precedence.
func (th *Throttle) Protect(precedence DropPrecedence, work float64, remaining, latencyTarget time.Duration) DropPrecedence {
	if precedence == Normal && remaining < latencyTarget+minDelay && work*th.recentRequests <= th.recentDemand {
		return LastAttempt
	}
	return precedence
}

// classOf returns the class of a request; classes with higher numbers are refused first.
func classOf(rank int, precedence DropPrecedence) int {
	return min(max(precedenceCount*rank+int(precedence-LastAttempt), 0), classCount-1)
}

// growth returns the work to admit for each unit of work that is answered. Answers count alike here: in work, long requests, which
// have more time, would hide that short ones are late.
func (th *Throttle) growth() float64 {
	if th.inTime+th.late <= 0 {
		return 0
	}
	return (inTimeFactor*th.inTime + lateFactor*th.late) / (th.inTime + th.late)
}

// refusalShare returns the share of a class to refuse so that the admitted work follows the work of answers.
func (th *Throttle) refusalShare(class int) float64 {
	if th.outcomes < minOutcomes {
		return 0
	}
	if th.recentDemand <= 0 {
		return 0
	}
	demand := th.recentDemand / demandTimeConstant.Seconds()
	capacity := th.growth() * th.answered / outcomeTimeConstant.Seconds()
	excess := min(maxRefusalShare, max(0, (demand-capacity)/(demand+th.recentDemand/th.recentRequests)))
	return newAllocation(&th.demand, &th.requests, excess, 0).refused[class]
}
