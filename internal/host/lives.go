package host

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/order"
)

// lives tells the order machine which hosts are held dead, so that a repeat of an order whose claimant died gets its
// answer at once.
type lives struct {
	dead map[chestnutroad.HostID]chestnutroad.Incarnation
}

// changes returns the lives that ended and those that turned out to be alive since the last call.
func (li *lives) changes(hosts []member.HostView) (gone, back []member.Host) {
	if li.dead == nil {
		li.dead = map[chestnutroad.HostID]chestnutroad.Incarnation{}
	}
	for _, view := range hosts {
		known, dead := li.dead[view.ID]
		switch {
		case view.State == member.Dead && (!dead || known < view.Incarnation):
			li.dead[view.ID] = view.Incarnation
			gone = append(gone, view.Host)
		case view.State != member.Dead && dead:
			delete(li.dead, view.ID)
			back = append(back, view.Host)
		}
	}
	return gone, back
}

// watchLives passes changes of membership on to the orders.
func (ho *Host) watchLives() {
	gone, back := ho.lives.changes(ho.peers.Hosts())
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
