package entry

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/admission"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/timeout"
)

// ruleStats holds what a host has observed of the streams, refusals and attempts of one rule.
type ruleStats struct {
	// firstEvent estimates the wait from a send to the first event, eventGap the pause between two events.
	firstEvent, eventGap timeout.Estimator
	// eventsPerToken is the moving average of events per allowed output token of complete streams.
	eventsPerToken float64
	// retryAfter determines when refused callers should retry, retryDetector tells their retries from first attempts.
	retryAfter    admission.RetryAfter
	retryDetector admission.RetryDetector
}

// eventsPerTokenWeight is the weight of a new stream in the moving average of events per token.
const eventsPerTokenWeight = 1.0 / 16

// recordStream records the number of events of a complete stream; output is the limit of output tokens that its caller set.
func (rs *ruleStats) recordStream(events int, output chestnutroad.Tokens) {
	if output <= 0 || events <= 0 {
		return
	}
	rate := float64(events) / float64(output)
	if rs.eventsPerToken == 0 {
		rs.eventsPerToken = rate
	}
	rs.eventsPerToken += eventsPerTokenWeight * (rate - rs.eventsPerToken)
}

const (
	// gapTargetShare is the share of a rule's event gap target that the mean gap of a target may reach; its longest gaps,
	// in which it reads other prompts, are longer than the mean.
	gapTargetShare = 0.7
	// deadlineShare is the share of the remaining time within which a stream of the expected length should end.
	deadlineShare = 0.7
)

// maxEventGap returns the longest mean gap between events with which a stream of up to output tokens meets the rule's gap
// target and ends within the remaining time.
func (rs *ruleStats) maxEventGap(rule *chestnutroad.RoutingRule, output chestnutroad.Tokens, remaining time.Duration) time.Duration {
	longest := time.Duration(gapTargetShare * float64(rule.EventGapTarget))
	if events := rs.eventsPerToken * float64(output); events > 1 {
		longest = min(longest, time.Duration(deadlineShare*float64(remaining)/events))
	}
	return longest
}

// withRuleStats calls use with the statistics of the rule while it holds the state's lock.
func (st *state) withRuleStats(rule chestnutroad.RouteID, use func(rs *ruleStats)) {
	st.mu.Lock()
	defer st.mu.Unlock()
	stats := st.ruleStats[rule]
	if stats == nil {
		stats = &ruleStats{}
		st.ruleStats[rule] = stats
	}
	use(stats)
}

// recordEventGap records a pause between two events of a target's stream, for the rule and for the target.
func (st *state) recordEventGap(now time.Time, rule chestnutroad.RouteID, id chestnutroad.TargetID, pause time.Duration) {
	st.withRuleStats(rule, func(rs *ruleStats) { rs.eventGap.Observe(pause) })
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.ObserveEventGap(now, id, pause)
}

// dropPrecedence returns the drop precedence of a request. Requests of callers that retry before they were asked to, and of
// teams that are over their share, are refused before others of the same rank.
func (en *Entry) dropPrecedence(ex *exchange) admission.DropPrecedence {
	precedence := admission.Normal
	if en.settings.Without.Off(mechanism.DropPrecedence) {
		return precedence
	}
	en.state.withRuleStats(ex.rule.Name, func(rs *ruleStats) {
		precedence = rs.retryDetector.Classify(ex.callMetadata.Budget, rs.retryAfter.MinDelay(ex.started, ex.callMetadata.Budget))
	})
	if ex.team != nil && en.state.overShare(ex.started, ex.service, ex.team.Name) {
		return admission.Demoted
	}
	return precedence
}

// overShare counts a request of the team and reports whether the team is over its share of the service's requests.
func (st *state) overShare(now time.Time, service chestnutroad.ServiceID, team chestnutroad.TeamID) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	teams := st.teams[service]
	if teams == nil {
		teams = &admission.TeamRates{}
		st.teams[service] = teams
	}
	return teams.OverShare(now, team)
}

// throttle returns the throttle of the service; st.mu must be held.
func (st *state) throttle(service chestnutroad.ServiceID) *admission.Throttle {
	throttle := st.throttles[service]
	if throttle == nil {
		throttle = admission.NewThrottle(st.disabled)
		st.throttles[service] = throttle
	}
	return throttle
}
