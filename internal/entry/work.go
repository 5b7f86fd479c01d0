package entry

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/admission"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/work"
)

// admit reports whether admission control allows that the request is sent to a target.
func (en *Entry) admit(ex *exchange) bool {
	now := en.now()
	en.state.estimateWork(now, ex)
	decision := en.state.admit(now, ex)
	if decision.Admitted {
		return true
	}
	ex.throttled = &decision
	en.counters.countThrottled(string(ex.service), ex.criteria.Rank, ex.work)
	return false
}

// prompt returns the numbers of prompt tokens that the caller states; without a total, those of its parts.
func (ex *exchange) prompt() work.Prompt {
	total := ex.callMetadata.Prompt
	if total <= 0 {
		for _, part := range ex.callMetadata.Parts {
			total += part.Tokens
		}
	}
	return work.Prompt{Total: total, Shared: ex.criteria.SharedTokens}
}

// estimateWork sets the work of a request, and where its shared parts are probably cached.
func (st *state) estimateWork(now time.Time, ex *exchange) {
	eventsPerToken := 0.0
	st.withRuleStats(ex.rule.Name, func(rs *ruleStats) { eventsPerToken = rs.eventsPerToken })
	st.mu.Lock()
	defer st.mu.Unlock()
	ex.cachedAt = st.pool.CachedAt(now, ex.criteria.Affinity)
	prefilled, generated := ex.prompt().Prefilled(ex.cachedAt != ""), work.Generated(ex.callMetadata.Output, eventsPerToken)
	ex.work = st.serviceRates(ex.service).Estimate(prefilled, generated).Seconds()
}

// serviceRates returns the rates of the service's engines; st.mu must be held.
func (st *state) serviceRates(service chestnutroad.ServiceID) *work.Rates {
	rates := st.rates[service]
	if rates == nil {
		rates = &work.Rates{}
		st.rates[service] = rates
	}
	return rates
}

// learnPrefillTime records the wait for the first event of a target that reports its load.
func (st *state) learnPrefillTime(ex *exchange, wait time.Duration) {
	if !ex.criteria.RequireSlot || !ex.answerMetadata.HasLoad {
		return
	}
	cached := ex.cachedAt != "" && ex.cachedAt == ex.choice.Entry.ID
	st.mu.Lock()
	defer st.mu.Unlock()
	st.serviceRates(ex.service).ObserveFirstEvent(ex.prompt().Prefilled(cached), wait, ex.answerMetadata.Waiting)
}

// learnStepTime records the gap between two events of a target that reports its load.
func (st *state) learnStepTime(ex *exchange, gap time.Duration) {
	if !ex.criteria.RequireSlot || !ex.answerMetadata.HasLoad {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.serviceRates(ex.service).ObserveEventGap(gap, ex.answerMetadata.Running)
}

// equalWork is the work of each request while work is not estimated.
const equalWork = 1

func (st *state) admissionWork(ex *exchange) float64 {
	if st.disabled.Off(mechanism.Work) {
		return equalWork
	}
	return ex.work
}

// admit decides whether admission control allows that the request is sent to a target.
func (st *state) admit(now time.Time, ex *exchange) admission.Decision {
	st.mu.Lock()
	defer st.mu.Unlock()
	utilisation := st.pool.Utilisation(now, &ex.criteria)
	if st.disabled.Off(mechanism.Admission) || st.pool.AllEvacuated(&ex.criteria) || st.pool.OutsideRegions(&ex.criteria) {
		// Without a target the choice refuses the request, with the reason.
		return admission.Decision{Admitted: true}
	}
	throttle, cost := st.throttle(ex.service), st.admissionWork(ex)
	if !st.disabled.Off(mechanism.Work) {
		ex.criteria.Precedence = throttle.Protect(ex.criteria.Precedence, cost, ex.remaining(now), ex.rule.LatencyTarget)
	}
	return throttle.Admit(now, ex.criteria.Rank, ex.criteria.Precedence, cost, utilisation, hashFraction(ex.criteria.ID))
}

// recordAdmissionOutcome records how an admitted request ended at a target, for admission control.
func (st *state) recordAdmissionOutcome(now time.Time, ex *exchange, outcome admission.Outcome) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.throttle(ex.service).Observe(now, ex.criteria.Rank, outcome, st.admissionWork(ex))
}
