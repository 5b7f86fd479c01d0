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

// changes returns the lives that ended and those that turned out not to have ended since the last call.
func (dh *deadHosts) changes(hosts []member.HostView) (gone, back []member.Host) {
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

// watchDeadHosts passes changes of membership on to the orders.
func (ho *Host) watchDeadHosts() {
	gone, back := ho.deadHosts.changes(ho.peers.Hosts())
	for _, host := range gone {
		ho.orders.decide(func(now time.Time, machine *order.Machine) []order.Action {
			return machine.HostDead(now, host.ID, host.Incarnation)
		})
	}
	for _, host := range back {
		ho.orders.decide(func(now time.Time, machine *order.Machine) []order.Action {
			return machine.HostAlive(now, host.ID, host.Incarnation)
		})
	}
}
