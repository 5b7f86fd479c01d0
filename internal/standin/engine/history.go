package engine

import (
	"sync"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
)

// A lagging load report is taken from samples of the load.
const (
	// historySpan is the time for which samples are retained, and thus the highest lag.
	historySpan = time.Minute
	// sampleInterval is the time after a sample during which no further one is recorded.
	sampleInterval = 10 * time.Millisecond
)

// loadSample is the engine's load at a point in time.
type loadSample struct {
	taken   time.Time
	running int
	work    chestnutroad.WorkUnits
}

// loadHistory holds the current load, its maximum and recent samples of it.
type loadHistory struct {
	mu      sync.Mutex
	current loadSample
	maxWork chestnutroad.WorkUnits
	samples []loadSample
}

func newLoadHistory() *loadHistory { return &loadHistory{current: loadSample{taken: time.Now()}} }

// add changes the current load by the given amounts. It first records a sample of the previous load if the last sample is at
// least sampleInterval old.
func (lh *loadHistory) add(running int, work chestnutroad.WorkUnits) {
	lh.mu.Lock()
	defer lh.mu.Unlock()
	now := time.Now()
	if len(lh.samples) == 0 || now.Sub(lh.samples[len(lh.samples)-1].taken) >= sampleInterval {
		lh.samples = append(lh.samples, lh.current)
	}
	for len(lh.samples) > 1 && now.Sub(lh.samples[1].taken) > historySpan {
		lh.samples = lh.samples[1:]
	}
	lh.current.taken = now
	lh.current.running += running
	lh.current.work += work
	lh.maxWork = max(lh.maxWork, lh.current.work)
}

// asOf returns the load at the given time ago, or the oldest sample if none is that old.
func (lh *loadHistory) asOf(lag time.Duration) loadSample {
	lh.mu.Lock()
	defer lh.mu.Unlock()
	taken := time.Now().Add(-lag)
	sample := lh.current
	for index := len(lh.samples) - 1; index >= 0 && sample.taken.After(taken); index-- {
		sample = lh.samples[index]
	}
	sample.taken = taken
	return sample
}

func (lh *loadHistory) mostWork() chestnutroad.WorkUnits {
	lh.mu.Lock()
	defer lh.mu.Unlock()
	return lh.maxWork
}
