package host

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/order"
)

// deadHosts tracks which hosts membership reports as dead. The order state machine needs this to answer repeats of an order
// at once when the host that claimed it has died.
type deadHosts struct {
	dead map[chestnutroad.HostID]chestnutroad.Incarnation
}

// update returns the hosts that have died since the last call, and the hosts that earlier calls returned as dead and that
// membership no longer considers dead.
func (dh *deadHosts) update(hosts []member.HostView) (died, revived []member.Host) {
	if dh.dead == nil {
		dh.dead = map[chestnutroad.HostID]chestnutroad.Incarnation{}
	}
	for _, view := range hosts {
		incarnation, dead := dh.dead[view.ID]
		switch {
		case view.State == member.Dead && (!dead || incarnation < view.Incarnation):
			dh.dead[view.ID] = view.Incarnation
			died = append(died, view.Host)
		case view.State != member.Dead && dead:
			delete(dh.dead, view.ID)
			revived = append(revived, view.Host)
		}
	}
	return died, revived
}

// reportDeadHosts reports hosts that died, or turned out to be alive, to the order state machine.
func (ho *Host) reportDeadHosts() {
	died, revived := ho.deadHosts.update(ho.peers.Hosts())
	for _, host := range died {
		ho.orders.decide(func(now time.Time, machine *order.Machine) []order.Action {
			return machine.HostDead(now, host.ID, host.Incarnation)
		})
	}
	for _, host := range revived {
		ho.orders.decide(func(now time.Time, machine *order.Machine) []order.Action {
			return machine.HostAlive(now, host.ID, host.Incarnation)
		})
	}
}
