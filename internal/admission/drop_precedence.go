package admission

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/decay"
)

// DropPrecedence orders the requests of one rank by which are refused first while slots are short.
type DropPrecedence int

// The drop precedences. Callers that retry after the delay they were given aren't preferred: they would take the slots in
// which first attempts are answered in time, and all would be answered late.
const (
	// LastAttempt marks short requests whose deadline leaves no time for a second attempt; they are refused last.
	LastAttempt DropPrecedence = iota - 1
	// Normal is the precedence of most requests.
	Normal
	// Demoted marks requests beyond a team's share and retries before the requested delay; they are refused first.
	Demoted
)

// String returns the name of the precedence, as it is written in logs.
func (dp DropPrecedence) String() string {
	switch dp {
	case LastAttempt:
		return "last attempt"
	case Demoted:
		return "demoted"
	default:
		return "normal"
	}
}

// precedenceCount is the number of drop precedences.
const precedenceCount = 3

// retryMargin is the share of the largest time budget by which the budget of a first attempt may be lower.
const retryMargin = 0.02

// RetryDetector tells retries from first attempts by the time budget that callers have left: a retry has less of it than
// the largest budget seen so far. The zero value is ready to use; it is not safe for concurrent use.
type RetryDetector struct {
	maxBudget time.Duration
}

// Classify returns the drop precedence of a request with the time budget: it is demoted when it is a retry sooner than
// minRetryDelay, the shortest delay that refused callers are given. A budget of zero means that none was stated.
func (rd *RetryDetector) Classify(budget, minRetryDelay time.Duration) DropPrecedence {
	rd.maxBudget = max(rd.maxBudget, budget)
	elapsed := rd.maxBudget - budget
	if budget > 0 && elapsed > time.Duration(retryMargin*float64(rd.maxBudget)) && elapsed < minRetryDelay {
		return Demoted
	}
	return Normal
}

const (
	// teamTimeConstant is the time constant with which the counts of teams decay. A host gets about 35 requests of 40 teams
	// in this time; about ten of them come from a team with ten times its usual traffic.
	teamTimeConstant = 8 * time.Second
	// overShareFactor is the multiple of the mean count of all active teams above which a team is over its share; large
	// teams reach three times the mean in quiet times.
	overShareFactor = 3
	// minTeamRequests is the count up to which a team is never over its share, since such a count may be due to chance.
	minTeamRequests = 6
)

// TeamRates counts the recent requests of each team. The zero value is ready to use; it is not safe for concurrent use.
type TeamRates struct {
	counts    map[chestnutroad.TeamID]float64
	total     float64
	updatedAt time.Time
}

// OverShare counts a request of the team and reports whether the team is over its share of the requests.
func (tr *TeamRates) OverShare(now time.Time, team chestnutroad.TeamID) bool {
	tr.decayTo(now)
	tr.counts[team]++
	tr.total++
	mean := tr.total / float64(len(tr.counts))
	return tr.counts[team] > minTeamRequests && tr.counts[team] > overShareFactor*mean
}

func (tr *TeamRates) decayTo(now time.Time) {
	elapsed := now.Sub(tr.updatedAt)
	tr.updatedAt = now
	if tr.counts == nil {
		tr.counts = map[chestnutroad.TeamID]float64{}
	}
	if elapsed <= 0 {
		return
	}
	factor := decay.Factor(elapsed, teamTimeConstant)
	tr.total = 0
	for team, count := range tr.counts {
		if count*factor < minActiveCount {
			delete(tr.counts, team)
			continue
		}
		tr.counts[team] = count * factor
		tr.total += count * factor
	}
}

// minActiveCount is the decayed count below which a team is no longer active.
const minActiveCount = 0.1
