package baseline

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// leastLoaded picks the target with the least work in its last report, which may be late; ties go to the first target.
type leastLoaded struct {
	ignoreEvents
	reports map[chestnutroad.TargetID]chestnutroad.LoadReport
}

func newLeastLoaded(Setup) pool.Policy {
	return newRouter(&leastLoaded{reports: map[chestnutroad.TargetID]chestnutroad.LoadReport{}})
}

func (ll *leastLoaded) choose(_ time.Time, _ *runningRequest, targets []chestnutroad.TargetID) chestnutroad.TargetID {
	least := targets[0]
	for _, id := range targets[1:] {
		if ll.reports[id].Work < ll.reports[least].Work {
			least = id
		}
	}
	return least
}

func (ll *leastLoaded) reported(report chestnutroad.LoadReport) {
	if report.Taken.After(ll.reports[report.Target].Taken) {
		ll.reports[report.Target] = report
	}
}
