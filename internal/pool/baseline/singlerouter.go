package baseline

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// affinityMultiple is the multiple of the mean load up to which the single router keeps a chat on its target.
const affinityMultiple = 1.25

// singleRouter sees all requests of the pool at once, with exact loads and an unbounded placement table. A chat stays
// on its target up to affinityMultiple; otherwise it goes to the least loaded target.
type singleRouter struct {
	loads      map[chestnutroad.TargetID]chestnutroad.WorkUnits
	placements map[chestnutroad.ChatID]placement
}

type placement struct {
	target chestnutroad.TargetID
	cached chestnutroad.Tokens
}

func newSingleRouter(Setup) pool.Policy {
	return newRouter(&singleRouter{
		loads:      map[chestnutroad.TargetID]chestnutroad.WorkUnits{},
		placements: map[chestnutroad.ChatID]placement{},
	})
}

func (sr *singleRouter) choose(_ time.Time, rn *runningRequest, targets []chestnutroad.TargetID) chestnutroad.TargetID {
	least := targets[0]
	var total chestnutroad.WorkUnits
	placed := false
	pl, recorded := sr.placements[rn.Chat]
	for _, id := range targets {
		total += sr.loads[id]
		placed = placed || (recorded && id == pl.target)
		if sr.loads[id] < sr.loads[least] {
			least = id
		}
	}
	if !placed {
		return least
	}
	work := chestnutroad.WorkOf(max(0, rn.Prompt+rn.sent-pl.cached), max(0, rn.MaxOutput-rn.sent))
	if float64(sr.loads[pl.target]+work) > affinityMultiple*float64(total+work)/float64(len(targets)) && pl.target != least {
		return least
	}
	rn.cached = min(pl.cached, rn.Prompt+rn.sent)
	return pl.target
}

func (sr *singleRouter) started(rn *runningRequest) { sr.loads[rn.target] += rn.work }

func (sr *singleRouter) ended(rn *runningRequest) {
	sr.loads[rn.target] -= rn.work
	if rn.Chat != 0 {
		sr.placements[rn.Chat] = placement{target: rn.target, cached: rn.Prompt + rn.sent}
	}
}

func (sr *singleRouter) reported(chestnutroad.LoadReport) {}
