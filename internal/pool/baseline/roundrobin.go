package baseline

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// roundRobin picks the targets in turn. The seed sets the first one, so that hosts don't pick in step.
type roundRobin struct {
	ignoreEvents
	next uint64
}

func newRoundRobin(setup Setup) pool.Policy { return newRouter(&roundRobin{next: setup.Seed}) }

func (rr *roundRobin) choose(_ time.Time, _ *runningRequest, targets []chestnutroad.TargetID) chestnutroad.TargetID {
	rr.next++
	return targets[rr.next%uint64(len(targets))]
}
