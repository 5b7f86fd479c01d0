package locality

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/ratelimit"
)

// Reason states why a request leaves.
type Reason string

// The reasons, which are also labels of the counter of requests that left.
const (
	// NoTarget is the reason of a request that no local target may get.
	NoTarget Reason = "NoTarget"
	// Full is that of a request for which all local targets are at their bound or have no free slot.
	Full Reason = "Full"
	// Load is that of a request in the share that leaves.
	Load Reason = "Load"
	// Cached is that of a request whose part is cached on the remote side only and is used too rarely for a copy.
	Cached Reason = "Cached"
)

// Reasons returns all reasons.
func Reasons() []Reason { return []Reason{NoTarget, Full, Load, Cached} }

// Request holds the properties of a request that determine its side.
type Request struct {
	// Draw is a uniform number in [0, 1) that is fixed for the request.
	Draw float64
	// LocalTargets and RemoteTargets are the numbers of targets that may get this request.
	LocalTargets, RemoteTargets int
	// LocalFull is true when each of the local ones is at its load bound or has no free slot.
	LocalFull bool
	// Traffic is the size of the request and the expected answer.
	Traffic chestnutroad.Bytes
	// Part is nil for a plain request.
	Part *Part
}

// Decision states whether a request leaves; Reason is empty when it stays.
type Decision struct {
	Leave  bool
	Reason Reason
}

// Decide returns whether the request leaves the data centre.
func (bl *Balancer) Decide(now time.Time, req *Request) Decision {
	switch {
	case req.RemoteTargets <= 0:
		return Decision{}
	case req.LocalTargets <= 0:
		return Decision{Leave: true, Reason: NoTarget}
	}
	probability := bl.costs.probability(float64(bl.Share(now)), bl.extraCost(req))
	if req.draw() < probability {
		return Decision{Leave: true, Reason: Load}
	}
	free := bl.remoteFree(now)
	if req.LocalFull && finite(req.Draw, 1) < free {
		return Decision{Leave: true, Reason: Full}
	}
	if free > 0 && bl.cheaperRemote(req) {
		return Decision{Leave: true, Reason: Cached}
	}
	return Decision{}
}

// draw returns the number that is compared with the probability of leaving. Most parts leave always or never, instead of being cached on
// both sides.
func (req *Request) draw() float64 {
	if req.Part == nil {
		return finite(req.Draw, 1)
	}
	return ratelimit.PartDraw(finite(req.Part.Draw, 1), finite(req.Draw, 1))
}

const (
	// freeRatio and fullRatio are the remote load ratios between which fewer and fewer requests leave because local targets are
	// full. Beyond fullRatio, the counts can't show free slots that others don't take at the same time.
	freeRatio = usualLimit
	fullRatio = 0.95
)

// remoteFree returns the probability with which a request that finds the local targets full leaves.
func (bl *Balancer) remoteFree(now time.Time) float64 {
	if !bl.counts.Remote.usable() {
		return 0
	}
	free := (fullRatio - float64(bl.counts.Remote.Ratio())) / (fullRatio - freeRatio)
	return bl.remoteWeight(now) * min(1, max(0, free))
}
