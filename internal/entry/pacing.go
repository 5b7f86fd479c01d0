package entry

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/admission"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/patience"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// pacing is what a host has seen of the streams and refusals of one rule.
type pacing struct {
	// first is the wait from a send to the first event, gap the pause between two events.
	first, gap patience.Estimate
	// events is the mean number of events of a whole stream for each token that the caller allowed.
	events   float64
	returns  admission.Returns
	attempts admission.Attempts
}

// eventsGain is the weight of a new stream in the mean number of events.
const eventsGain = 1.0 / 16

func (pc *pacing) ended(events int, output chestnutroad.Tokens) {
	if output <= 0 || events <= 0 {
		return
	}
	rate := float64(events) / float64(output)
	if pc.events == 0 {
		pc.events = rate
	}
	pc.events += eventsGain * (rate - pc.events)
}

const (
	// onTimeShare is the part of the longest on-time pause that the mean pause of a target may take; its longest pauses,
	// in which it reads other prompts, are longer than the mean.
	onTimeShare = 0.7
	// streamShare is the part of the remaining time in which a stream of the expected length should end.
	streamShare = 0.7
)

// longestPause returns the mean pause with which a stream of so many allowed tokens is on time and ends in time.
func (pc *pacing) longestPause(rule *chestnutroad.RoutingRule, output chestnutroad.Tokens, left time.Duration) time.Duration {
	longest := time.Duration(onTimeShare * float64(rule.EventGapTarget))
	if events := pc.events * float64(output); events > 1 {
		longest = min(longest, time.Duration(streamShare*float64(left)/events))
	}
	return longest
}

// withPacing calls use with what was seen of the rule.
func (st *state) withPacing(rule chestnutroad.RouteID, use func(pc *pacing)) {
	st.mu.Lock()
	defer st.mu.Unlock()
	known := st.pacings[rule]
	if known == nil {
		known = &pacing{}
		st.pacings[rule] = known
	}
	use(known)
}

// paused takes in a pause between two events of a target's stream.
func (st *state) paused(now time.Time, rule chestnutroad.RouteID, id chestnutroad.TargetID, pause time.Duration) {
	st.withPacing(rule, func(pc *pacing) { pc.gap.Observe(pause) })
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.ObserveEventGap(now, id, pause)
}

// standing returns the standing of a request among those of its rank.
func (en *Entry) standing(ex *exchange) admission.Standing {
	standing := admission.Usual
	if en.settings.Without.Off(mechanism.Standing) {
		return standing
	}
	en.state.withPacing(ex.rule.Name, func(pc *pacing) {
		standing = pc.attempts.Standing(ex.facts.Budget, pc.returns.Shortest(ex.started, ex.facts.Budget))
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
func (st *state) admit(now time.Time, ask *placement.Request) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	use := st.pool.Utilisation(now, ask)
	if st.off.Off(mechanism.Admission) {
		return true
	}
	return st.throttle(ask.Service).Admit(now, ask.Rank, ask.Precedence, use, draw(ask.ID))
}

// ended takes in how an admitted request ended at a target.
func (st *state) ended(now time.Time, service chestnutroad.ServiceID, end admission.End) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.throttle(service).Ended(now, end)
}
