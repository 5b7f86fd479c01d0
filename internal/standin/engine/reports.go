package engine

import (
	"sync"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
)

// The span and the finest step of the kept load reports, from which a lagging report is taken.
const (
	reportSpan = time.Minute
	reportStep = 10 * time.Millisecond
)

// measure is the engine's load at one time.
type measure struct {
	taken   time.Time
	running int
	work    chestnutroad.WorkUnits
}

// reports holds the present load and its recent past.
type reports struct {
	mu   sync.Mutex
	now  measure
	most chestnutroad.WorkUnits
	past []measure
}

func newReports() *reports { return &reports{now: measure{taken: time.Now()}} }

// add changes the load.
func (re *reports) add(running int, work chestnutroad.WorkUnits) {
	re.mu.Lock()
	defer re.mu.Unlock()
	now := time.Now()
	if len(re.past) == 0 || now.Sub(re.past[len(re.past)-1].taken) >= reportStep {
		re.past = append(re.past, re.now)
	}
	for len(re.past) > 1 && now.Sub(re.past[1].taken) > reportSpan {
		re.past = re.past[1:]
	}
	re.now.taken = now
	re.now.running += running
	re.now.work += work
	re.most = max(re.most, re.now.work)
}

// at returns the load as of the lag ago.
func (re *reports) at(lag time.Duration) measure {
	re.mu.Lock()
	defer re.mu.Unlock()
	taken := time.Now().Add(-lag)
	seen := re.now
	for index := len(re.past) - 1; index >= 0 && seen.taken.After(taken); index-- {
		seen = re.past[index]
	}
	seen.taken = taken
	return seen
}

func (re *reports) mostWork() chestnutroad.WorkUnits {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.most
}
