package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// reportMaxAge is the age from which a report is ignored, so that lost reports can't block a target for ever.
	reportMaxAge = 10 * time.Second
	// clockSlack is the tolerance between a report's time and the start or end of an owner's request that it may
	// include.
	clockSlack = 250 * time.Millisecond
	// maxEndedRequests bounds the ended requests that a target keeps to tell the owner's work in a late report from
	// others'.
	maxEndedRequests = 512
	// leavingNoticeTTL is how long a peer's leaving notice overrides lists without it. Lists lag by seconds; after this
	// time the notice was wrong or was withdrawn.
	leavingNoticeTTL = 5 * time.Minute
	// failuresToEject is the number of consecutive failures that eject a target.
	failuresToEject = 3
	// baseEjectionTime is the length of the first ejection; each further one in a row doubles it up to maxEjectionTime.
	baseEjectionTime = 2 * time.Second
	maxEjectionTime  = 30 * time.Second
)

// target is the owner's state of one target.
type target struct {
	id     chestnutroad.TargetID
	seed   uint64
	slots  int
	listed bool
	// unlistedAt is when the list dropped the target.
	unlistedAt time.Time
	// listedLeaving is set while the list calls the target leaving; leavingNoticeAt is the time of a peer's notice, or
	// zero.
	listedLeaving   bool
	leavingNoticeAt time.Time
	// slowStartAt is when the slow start began; zero means full weight.
	slowStartAt time.Time
	incarnation chestnutroad.Incarnation
	location    locationIndex
	// cacheSequence is the highest sequence number of the cache events received from this incarnation.
	cacheSequence uint64

	running    []*request
	bookedWork chestnutroad.WorkUnits
	ended      []endedRequest
	// endedDroppedUntil is the end of the latest request that was dropped from ended. A report from before it can't be
	// compared with the owner's work.
	endedDroppedUntil time.Time

	// reportTaken and reportAt are the time of the latest report. The fields that start with others hold the work and requests
	// of other owners as of reportAt.
	reportTaken time.Time // by the engine's clock
	reportAt    time.Time // reportTaken converted to the owner's clock
	// clockAhead is the largest lead of a report's time over the owner's clock since the target's start.
	clockAhead  time.Duration
	othersSeen  bool
	othersWork  chestnutroad.WorkUnits
	othersCount int

	// consecutiveFailures counts failures since the last finished request, ejection or restart; ejections counts
	// ejections since the last finished request or restart.
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
}

// endedRequest is a request that recently ended on a target.
type endedRequest struct {
	work    chestnutroad.WorkUnits
	started time.Time
	ended   time.Time
}

func (tg *target) leaving() bool { return tg.listedLeaving || !tg.leavingNoticeAt.IsZero() }

func (tg *target) ejected(now time.Time) bool {
	return !tg.ejectedUntil.IsZero() && now.Before(tg.ejectedUntil)
}

// eligible reports whether the target may receive new work and counts in the pool's mean.
func (tg *target) eligible(now time.Time) bool {
	return tg.listed && !tg.leaving() && !tg.ejected(now)
}

// weight returns the target's weight, which grows linearly from zero to one during the slow start.
func (tg *target) weight(now time.Time, slowStart time.Duration) float64 {
	if tg.slowStartAt.IsZero() || slowStart <= 0 {
		return 1
	}
	return min(1, max(0, float64(now.Sub(tg.slowStartAt))/float64(slowStart)))
}

// othersFresh reports whether the last report showed work of other owners and is not too old.
func (tg *target) othersFresh(now time.Time) bool {
	return tg.othersSeen && now.Sub(tg.reportAt) < reportMaxAge
}

// runningCount returns the number of requests that run on the target, with those of other owners where reported.
func (tg *target) runningCount(now time.Time) int {
	if !tg.othersFresh(now) {
		return len(tg.running)
	}
	return len(tg.running) + tg.othersCount
}

// largestRequest returns the work of the largest request that the owner runs on the target.
func (tg *target) largestRequest() chestnutroad.WorkUnits {
	var largest chestnutroad.WorkUnits
	for _, rq := range tg.running {
		largest = max(largest, rq.work)
	}
	return largest
}

// begin books the request on the target.
func (tg *target) begin(now time.Time, rq *request, work chestnutroad.WorkUnits) {
	rq.target = tg
	rq.work = work
	rq.started = now
	rq.runningIndex = len(tg.running)
	tg.running = append(tg.running, rq)
	tg.bookedWork += work
}

// end takes the request off the target's booked work.
func (tg *target) end(now time.Time, rq *request) {
	last := tg.running[len(tg.running)-1]
	tg.running[rq.runningIndex] = last
	last.runningIndex = rq.runningIndex
	tg.running = tg.running[:len(tg.running)-1]
	tg.bookedWork -= rq.work
	if len(tg.ended) >= maxEndedRequests {
		tg.endedDroppedUntil = tg.ended[maxEndedRequests/2-1].ended
		tg.ended = append(tg.ended[:0], tg.ended[maxEndedRequests/2:]...)
	}
	tg.ended = append(tg.ended, endedRequest{work: rq.work, started: rq.started, ended: now})
	rq.target = nil
}

// ownRunningAt returns the work and number of the owner's requests that may have run on the target at the given time.
func (tg *target) ownRunningAt(at time.Time, slack time.Duration) (chestnutroad.WorkUnits, int) {
	var work chestnutroad.WorkUnits
	count := 0
	for _, rq := range tg.running {
		if !rq.started.After(at.Add(slack)) {
			work += rq.work
			count++
		}
	}
	for _, en := range tg.ended {
		if !en.started.After(at.Add(slack)) && !en.ended.Before(at.Add(-slack)) {
			work += en.work
			count++
		}
	}
	return work, count
}
