package admission

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/decay"
)

// DropPrecedence orders the requests of one rank while places are short.
type DropPrecedence int

// The standings. Callers that come back as they were asked to have the usual one: placed first, they would take the places
// in which first attempts are answered in time, and all would be answered late.
const (
	// Normal is the standing of most requests.
	Normal DropPrecedence = iota
	// Demoted is the standing of requests beyond a team's share, and of callers that come back before they were asked to;
	// they are refused first.
	Demoted
)

// returnMargin is the part of a rule's usual time budget by which that of a first attempt may be lower.
const returnMargin = 0.02

// RetryDetector tells first attempts from returns by the time that callers have left: one that comes back has less of it than
// the usual time budget of the rule. The zero value is ready to use; it is not safe for concurrent use.
type RetryDetector struct {
	longest time.Duration
}

// Classify returns the standing of a request with so much time, when refused callers are asked to wait for at least
// shortest.
func (at *RetryDetector) Classify(budget, shortest time.Duration) DropPrecedence {
	at.longest = max(at.longest, budget)
	since := at.longest - budget
	if budget > 0 && since > time.Duration(returnMargin*float64(at.longest)) && since < shortest {
		return Demoted
	}
	return Normal
}

const (
	// teamMemory is the time constant with which a team's requests are forgotten; a host of the large sites gets some 35
	// requests of 40 teams in it, of which a team with ten times its usual traffic has ten.
	teamMemory = 8 * time.Second
	// teamShare is the multiple of the mean of all active teams from which a team is held to its share: large teams have
	// up to three times the mean in quiet times.
	teamShare = 3
	// fewRequests is the count up to which a team is never held; less than that comes about by chance.
	fewRequests = 6
)

// TeamRates follows how many requests each team sends. The zero value is ready to use; it is not safe for concurrent use.
type TeamRates struct {
	counts map[chestnutroad.TeamID]float64
	total  float64
	at     time.Time
}

// OverShare counts a request of the team and reports whether the team is over its share of the requests.
func (tm *TeamRates) OverShare(now time.Time, team chestnutroad.TeamID) bool {
	tm.fade(now)
	tm.counts[team]++
	tm.total++
	mean := tm.total / float64(len(tm.counts))
	return tm.counts[team] > fewRequests && tm.counts[team] > teamShare*mean
}

func (tm *TeamRates) fade(now time.Time) {
	elapsed := now.Sub(tm.at)
	tm.at = now
	if tm.counts == nil {
		tm.counts = map[chestnutroad.TeamID]float64{}
	}
	if elapsed <= 0 {
		return
	}
	keep := decay.Factor(elapsed, teamMemory)
	tm.total = 0
	for team, count := range tm.counts {
		if count*keep < leastCount {
			delete(tm.counts, team)
			continue
		}
		tm.counts[team] = count * keep
		tm.total += count * keep
	}
}

// leastCount is the faded count at which a team is no longer active.
const leastCount = 0.1
