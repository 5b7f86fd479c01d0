package entry

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/admission"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/patience"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// ruleStats is what a host has seen of the streams and refusals of one rule.
type ruleStats struct {
	// firstEvent is the wait from a send to the firstEvent event, eventGap the pause between two events.
	firstEvent, eventGap patience.Estimate
	// eventsPerToken is the mean number of eventsPerToken of a whole stream for each token that the caller allowed.
	eventsPerToken   float64
	retryAfter  admission.Returns
	attempts admission.Attempts
}

// eventsPerTokenWeight is the weight of a new stream in the mean number of events.
const eventsPerTokenWeight = 1.0 / 16

func (pc *ruleStats) recordStream(events int, output chestnutroad.Tokens) {
	if output <= 0 || events <= 0 {
		return
	}
	rate := float64(events) / float64(output)
	if pc.eventsPerToken == 0 {
		pc.eventsPerToken = rate
	}
	pc.eventsPerToken += eventsPerTokenWeight * (rate - pc.eventsPerToken)
}

const (
	// gapTargetShare is the part of the longest on-time pause that the mean pause of a target may take; its longest pauses,
	// in which it reads other prompts, are longer than the mean.
	gapTargetShare = 0.7
	// deadlineShare is the part of the remaining time in which a stream of the expected length should end.
	deadlineShare = 0.7
)

// maxEventGap returns the mean pause with which a stream of so many allowed tokens is on time and ends in time.
func (pc *ruleStats) maxEventGap(rule *chestnutroad.RoutingRule, output chestnutroad.Tokens, left time.Duration) time.Duration {
	longest := time.Duration(gapTargetShare * float64(rule.EventGapTarget))
	if events := pc.eventsPerToken * float64(output); events > 1 {
		longest = min(longest, time.Duration(deadlineShare*float64(left)/events))
	}
	return longest
}

// withRuleStats calls use with what was seen of the rule.
func (st *state) withRuleStats(rule chestnutroad.RouteID, use func(pc *ruleStats)) {
	st.mu.Lock()
	defer st.mu.Unlock()
	known := st.pacings[rule]
	if known == nil {
		known = &ruleStats{}
		st.pacings[rule] = known
	}
	use(known)
}

// recordEventGap takes in a pause between two events of a target's stream.
func (st *state) recordEventGap(now time.Time, rule chestnutroad.RouteID, id chestnutroad.TargetID, pause time.Duration) {
	st.withRuleStats(rule, func(pc *ruleStats) { pc.eventGap.Observe(pause) })
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.Paused(now, id, pause)
}

// priorityInRank returns the priorityInRank of a request among those of its rank.
func (en *Entry) priorityInRank(ex *exchange) admission.Standing {
	standing := admission.Usual
	if en.settings.Without.Off(mechanism.Standing) {
		return standing
	}
	en.state.withRuleStats(ex.rule.Name, func(pc *ruleStats) {
		standing = pc.attempts.Standing(ex.facts.Budget, pc.retryAfter.Shortest(ex.started, ex.facts.Budget))
	})
	if ex.team != nil && en.state.overShare(ex.started, ex.service, ex.team.Name) {
		return admission.Held
	}
	return standing
}

// overShare counts a request of the team and reports whether it is over the team's share at the service.
func (st *state) overShare(now time.Time, service chestnutroad.ServiceID, team chestnutroad.TeamID) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	known := st.teams[service]
	if known == nil {
		known = &admission.Teams{}
		st.teams[service] = known
	}
	return known.Over(now, team)
}

func (st *state) throttle(service chestnutroad.ServiceID) *admission.Throttle {
	known := st.throttles[service]
	if known == nil {
		known = &admission.Throttle{}
		st.throttles[service] = known
	}
	return known
}

// admit reports whether the request is sent to a target at all.
func (st *state) admit(now time.Time, ask *placement.Ask) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	use := st.pool.Use(now, ask)
	if st.off.Off(mechanism.Admission) {
		return true
	}
	return st.throttle(ask.Service).Admit(now, ask.Rank, ask.Standing, use, hashFraction(ask.Request))
}

// recordAdmissionEnd takes in how an admitted request recordAdmissionEnd at a target.
func (st *state) recordAdmissionEnd(now time.Time, service chestnutroad.ServiceID, end admission.End) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.throttle(service).Ended(now, end)
}
