package baseline

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// roundRobin picks the targets in turn; the seed sets the first, since hosts don't start in step.
type roundRobin struct {
	stateless
	next uint64
}

func newRoundRobin(setup Setup) pool.Policy { return newRouter(&roundRobin{next: setup.Seed}) }

func (rr *roundRobin) choose(_ time.Time, _ *running, targets []chestnutroad.TargetID) chestnutroad.TargetID {
	rr.next++
	return targets[rr.next%uint64(len(targets))]
}
