package baseline

import (
	"math/rand/v2"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// random picks a target at random.
type random struct {
	ignoreEvents
	source *rand.Rand
}

func newRandom(setup Setup) pool.Policy {
	return newRouter(&random{source: rand.New(rand.NewPCG(setup.Seed, 0))})
}

func (rd *random) choose(_ time.Time, _ *runningRequest, targets []chestnutroad.TargetID) chestnutroad.TargetID {
	return targets[rd.source.IntN(len(targets))]
}
