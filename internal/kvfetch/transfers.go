package kvfetch

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// sourceID identifies one incarnation of a source; the queue of an earlier one ended with it.
type sourceID struct {
	target      chestnutroad.TargetID
	incarnation chestnutroad.Incarnation
}

func (src *Source) id() sourceID { return sourceID{target: src.Target, incarnation: src.Incarnation} }

// Transfers tracks the transfers that this host has caused at each source, one after the other. It is not safe for concurrent use.
type Transfers struct {
	// doneAt is when the transfers of a source are expected to be done.
	doneAt map[sourceID]time.Time
}

// NewTransfers returns a Transfers without any.
func NewTransfers() *Transfers { return &Transfers{doneAt: map[sourceID]time.Time{}} }

// maxSources is the number of sources above which those without transfers are dropped.
const maxSources = 1024

// Start records that the source was named.
func (tr *Transfers) Start(now time.Time, dc *Decision) {
	if len(tr.doneAt) >= maxSources {
		for id, at := range tr.doneAt {
			if !now.Before(at) {
				delete(tr.doneAt, id)
			}
		}
	}
	tr.doneAt[dc.Source.id()] = now.Add(tr.wait(now, &dc.Source) + dc.Transfer)
}

// wait returns the time until the transfers of a source are expected to be done.
func (tr *Transfers) wait(now time.Time, src *Source) time.Duration {
	return max(0, tr.doneAt[src.id()].Sub(now))
}
