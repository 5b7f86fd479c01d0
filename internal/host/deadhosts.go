package host

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/order"
)

// deadHosts tells the order machine which hosts are held dead, so that a repeat of an order whose claimant died gets its
// answer at once.
type deadHosts struct {
	dead map[chestnutroad.HostID]chestnutroad.Incarnation
}

// update returns the lives that ended and those that turned out not to have ended since the last call.
func (dh *deadHosts) update(hosts []member.HostView) (gone, back []member.Host) {
	if dh.dead == nil {
		dh.dead = map[chestnutroad.HostID]chestnutroad.Incarnation{}
	}
	for _, view := range hosts {
		known, dead := dh.dead[view.ID]
		switch {
		case view.State == member.Dead && (!dead || known < view.Incarnation):
			dh.dead[view.ID] = view.Incarnation
			gone = append(gone, view.Host)
		case view.State != member.Dead && dead:
			delete(dh.dead, view.ID)
			back = append(back, view.Host)
		}
	}
	return gone, back
}

// reportDeadHosts passes changes of membership on to the orders.
func (ho *Host) reportDeadHosts() {
	gone, back := ho.deadHosts.update(ho.peers.Hosts())
	for _, host := range gone {
		ho.orders.decide(func(now time.Time, machine *order.Machine) []order.Action {
			return machine.HostGone(now, host.ID, host.Incarnation)
		})
	}
	for _, host := range back {
		ho.orders.decide(func(now time.Time, machine *order.Machine) []order.Action {
			return machine.HostBack(now, host.ID, host.Incarnation)
		})
	}
}
