package entry

import (
	"fmt"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// recordInvalidLoad counts an answer that states a load or pace that can't be read, and logs the first one of each incarnation of a
// target.
func (en *Entry) recordInvalidLoad(entry *chestnutroad.TargetEntry, metadata *chestnutroad.AnswerMetadata) {
	if !metadata.InvalidLoad && !metadata.InvalidPace {
		return
	}
	figure := "Load"
	if metadata.InvalidPace {
		figure = "Pace"
	}
	en.counters.countInvalidLoad(string(entry.Service), figure)
	if en.state.markInvalidLoad(entry.ID) {
		en.logger.Warn("target states a load that can't be read", "Target", entry.ID, "Service", entry.Service, "Figure", figure)
	}
}

// countInvalidLoad counts an answer that states a load or a pace that can't be read.
func (cn *counters) countInvalidLoad(service, figure string) {
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_target_loads_invalid_total{service=%q,figure=%q}", service, figure)).Inc()
}

func (st *state) markInvalidLoad(id chestnutroad.TargetID) (first bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.MarkInvalidLoad(id)
}

// slowCount returns the number of targets whose work is expected to take several times as long as usual.
func (st *state) slowCount(now time.Time) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.SlowTargets(now)
}
