package entry

import (
	"fmt"

	"github.com/chestnutroad/chestnutroad"
)

// regionRefusal returns the refusal of a request whose rule or team allows no region in which its service has a target.
func (en *Entry) regionRefusal(ex *exchange) error {
	counts := en.state.countTargets(en.now(), ex.service)
	ex.targetCounts = &counts
	en.counters.countOutsideRegions(string(ex.service))
	message := "no target of the service is in an allowed region"
	return chestnutroad.Refuse(chestnutroad.NoTarget, message).WithRetryAfter(noTargetRetryAfter)
}

// countOutsideRegions counts a request that was refused since no target is in an allowed region.
func (cn *counters) countOutsideRegions(service string) {
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_requests_refused_regions_total{service=%q}", service)).Inc()
}
