package entry

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/placement"
	"github.com/chestnutroad/chestnutroad/internal/ratelimit"
)

// observeLimit records what an answer of a target states about its limit of requests a second.
func (en *Entry) observeLimit(entry *chestnutroad.TargetEntry, metadata *chestnutroad.AnswerMetadata) {
	if en.settings.Without.Off(mechanism.TargetLimits) {
		return
	}
	if metadata.InvalidLimit {
		en.counters.countInvalidLimit(string(entry.Service))
	}
	change := en.state.observeLimit(en.now(), entry, metadata)
	en.logLimit(&placement.LimitChange{Entry: *entry, Change: change}, "target")
}

// logLimit logs that the limit of a target started, changed or ended.
func (en *Entry) logLimit(change *placement.LimitChange, source string) {
	switch {
	case !change.Changed:
	case change.After > 0:
		en.logger.Info("target limits its requests", "Target", change.Entry.ID, "Service", change.Entry.Service,
			"LimitPerSecond", change.After, "Before", change.Before, "Source", source)
	default:
		en.logger.Info("target no longer limits its requests", "Target", change.Entry.ID, "Service", change.Entry.Service,
			"Before", change.Before, "Source", source)
	}
}

// mergeRates records the requests of other hosts for targets with limits.
func (en *Entry) mergeRates(now time.Time, rates []chestnutroad.TargetRate) {
	if en.settings.Without.Off(mechanism.TargetLimits) && en.settings.Without.Off(mechanism.ColdStart) {
		return
	}
	for _, change := range en.state.mergeRates(now, rates) {
		en.logLimit(&change, "hosts")
	}
}

func (st *state) observeLimit(
	now time.Time, entry *chestnutroad.TargetEntry, metadata *chestnutroad.AnswerMetadata,
) ratelimit.Change {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.ObserveLimit(now, entry, ratelimit.Statement{Limit: metadata.Limit, Invalid: metadata.InvalidLimit})
}

// pendingRates returns this host's requests for targets with limits, for other hosts.
func (st *state) pendingRates(now time.Time) []chestnutroad.TargetRate {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.TakeRates(now)
}

func (st *state) mergeRates(now time.Time, rates []chestnutroad.TargetRate) []placement.LimitChange {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.MergeRates(now, rates)
}

// limitedCount returns the number of targets with a limit.
func (st *state) limitedCount() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.LimitedCount()
}
