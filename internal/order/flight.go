package order

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// phase is the progress of an order on this host.
type phase int

const (
	// phaseQueued means that the claim is queued for an append.
	phaseQueued phase = iota
	// phaseSent means that the claim is being appended or may be in the log, but has not been read back.
	phaseSent
	// phaseWaiting means that the flight has no claim that may win, because another claim holds the key.
	phaseWaiting
	// phaseRunning means that a Run for the order was returned and its result is pending.
	phaseRunning
)

// waiter is a request that waits for the outcome of an order.
type waiter struct {
	request  chestnutroad.RequestID
	deadline time.Time
}

// flight is an order in progress on this host, with the coalesced requests for its key.
type flight struct {
	// number counts the flights of the machine in the order of their start.
	number  uint64
	key     Key
	digest  string
	repeat  chestnutroad.Repeat
	phase   phase
	waiters []waiter
	claim   record.Claimant
	// created is the time at which the claim, or the second attempt under an earlier claim, was made.
	created time.Time
	// expiresMs is the log time, in Unix milliseconds, at which the claim that the order runs with expires.
	expiresMs int64
	// runRequest is the request of the Run.
	runRequest chestnutroad.RequestID
	// mayHaveRun is true if an earlier attempt may have run the order, so that this one can't prove that it did not run.
	mayHaveRun bool
}

// addWaiter adds a request, or updates the deadline of one that is submitted again.
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
	remaining := fl.waiters[:0]
	for _, wt := range fl.waiters {
		if wt.request != request {
			remaining = append(remaining, wt)
		}
	}
	fl.waiters = remaining
}

// removeExpired removes and returns the waiters whose deadline has passed.
func (fl *flight) removeExpired(now time.Time) []waiter {
	var expired []waiter
	remaining := fl.waiters[:0]
	for _, wt := range fl.waiters {
		if now.Before(wt.deadline) {
			remaining = append(remaining, wt)
		} else {
			expired = append(expired, wt)
		}
	}
	fl.waiters = remaining
	return expired
}

// claiming reports whether the flight has a claim that is not yet read back.
func (fl *flight) claiming() bool { return fl.phase == phaseQueued || fl.phase == phaseSent }
