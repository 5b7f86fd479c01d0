package order

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// phase says how far an order is at this host.
type phase int

const (
	// phaseQueued means that the claim waits for the next append.
	phaseQueued phase = iota
	// phaseSent means that the claim is or may be in the log but has not been read back.
	phaseSent
	// phaseWaiting means that another host's claim holds the key.
	phaseWaiting
	// phaseRunning means that the order was given to a target.
	phaseRunning
)

// waiter is a request that waits for the order.
type waiter struct {
	request  chestnutroad.RequestID
	deadline time.Time
}

// flight is an order that this host handles, with all requests that ask for it.
type flight struct {
	// number orders the flights of a machine by their start.
	number  uint64
	key     Key
	digest  string
	repeat  chestnutroad.Repeat
	phase   phase
	waiters []waiter
	claim   record.Claimant
	// created is when the claim was made.
	created time.Time
	// expiresMs is the log time, in milliseconds, at which readers forget the claim with which the order runs.
	expiresMs int64
	// runRequest is the request with which the order was given to a target.
	runRequest chestnutroad.RequestID
	// mayHaveRun is true when an earlier attempt may have run, so that this one can't prove that nothing ran.
	mayHaveRun bool
}

// addWaiter adds a request, or moves the deadline of one that asks again.
func (fl *flight) addWaiter(wt waiter) {
	for index := range fl.waiters {
		if fl.waiters[index].request == wt.request {
			fl.waiters[index] = wt
			return
		}
	}
	fl.waiters = append(fl.waiters, wt)
}

func (fl *flight) removeWaiter(request chestnutroad.RequestID) {
	kept := fl.waiters[:0]
	for _, wt := range fl.waiters {
		if wt.request != request {
			kept = append(kept, wt)
		}
	}
	fl.waiters = kept
}

// removeExpired removes and returns the waiters whose deadline has passed.
func (fl *flight) removeExpired(now time.Time) []waiter {
	var late []waiter
	kept := fl.waiters[:0]
	for _, wt := range fl.waiters {
		if now.Before(wt.deadline) {
			kept = append(kept, wt)
		} else {
			late = append(late, wt)
		}
	}
	fl.waiters = kept
	return late
}

// claiming reports whether the order is neither running here nor waiting for another host.
func (fl *flight) claiming() bool { return fl.phase == phaseQueued || fl.phase == phaseSent }
