package relay

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// maxEvidence bounds the evidence of one data centre, or of all others, that a relay forwards in one message. Evidence that is
// left out is sent again if its part is suspected.
const maxEvidence = 48

// receivedEvidence is evidence with the time at which it arrived.
type receivedEvidence struct {
	chestnutroad.CrashEvidence
	at time.Time
}

// evidenceQueue holds evidence about prompt parts until a relay forwards it.
type evidenceQueue []receivedEvidence

// add adds the evidence that is not in the queue yet; several hosts may report the same crash.
func (eq *evidenceQueue) add(now time.Time, items []chestnutroad.CrashEvidence) {
	for _, item := range items {
		if len(*eq) < maxEvidence && !eq.has(&item) {
			*eq = append(*eq, receivedEvidence{CrashEvidence: item, at: now})
		}
	}
}

func (eq *evidenceQueue) has(item *chestnutroad.CrashEvidence) bool {
	for _, held := range *eq {
		if held.Subject == item.Subject && held.Crash == item.Crash && (item.Crash > 0 || held.Age <= item.Age) {
			return true
		}
	}
	return false
}

// items returns the evidence with its present age.
func (eq *evidenceQueue) items(now time.Time) []chestnutroad.CrashEvidence {
	items := make([]chestnutroad.CrashEvidence, 0, len(*eq))
	for _, held := range *eq {
		held.Age += now.Sub(held.at)
		items = append(items, held.CrashEvidence)
	}
	return items
}
