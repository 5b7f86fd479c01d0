package entry

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// observeCold records the time for which an answer states that its target is cold.
func (en *Entry) observeCold(now time.Time, entry *chestnutroad.TargetEntry, metadata *chestnutroad.AnswerMetadata) {
	if en.settings.Without.Off(mechanism.ColdStart) || !metadata.HasCold && !metadata.InvalidCold {
		return
	}
	en.state.mu.Lock()
	valid := !metadata.InvalidCold && en.state.pool.ObserveCold(now, entry, metadata.ColdRemaining)
	en.state.mu.Unlock()
	if !valid {
		en.countInvalidCold(entry)
	}
}

// countInvalidCold counts a statement of an invalid cold time, and logs the first one.
func (en *Entry) countInvalidCold(entry *chestnutroad.TargetEntry) {
	if en.state.invalidColdTimes.Add(1) == 1 {
		en.logger.Warn("target states an invalid time for which it is cold", "Target", entry.ID, "Service", entry.Service)
	}
}

// logCold logs the targets that became cold or warm since the last call.
func (en *Entry) logCold(now time.Time) {
	for _, change := range en.state.coldChanges(now) {
		message := "target is warm"
		if change.Cold {
			message = "target is cold"
		}
		en.logger.Info(message, "Target", change.Entry.ID, "Service", change.Entry.Service, "TargetCentre", change.Entry.DataCentre,
			"Source", change.Source, "Remaining", change.Remaining)
	}
}

func (st *state) coldChanges(now time.Time) []placement.ColdChange {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.TakeColdChanges(now)
}

// coldCount returns the number of cold targets.
func (st *state) coldCount(now time.Time) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.ColdCount(now)
}
