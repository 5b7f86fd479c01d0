package main

import (
	"context"
	"errors"
	"syscall"
	"time"
)

const (
	// settleTime is longer than contactTime, so that all hosts are in touch when the trouble begins.
	settleTime = 6 * time.Second
	// stopDelay is the time from the cut to the planned stop of the same host.
	stopDelay = 1500 * time.Millisecond
	// watchTime is the time after the store's ack in which the outcome is watched.
	watchTime = 4 * time.Second
)

var errNoReader = errors.New("no single host reads the list of runners")

// change applies a change at the store, just after the host that reads for the zone has read the list of runners. With trouble, that
// host is then cut off from the store, and gets SIGTERM stopDelay later. It returns when the store acknowledged the change, and that
// host.
func change(st *site, trouble bool, apply func()) (acknowledged time.Time, reader *host, err error) {
	time.Sleep(settleTime)
	if reader = st.awaitListReader(5 * time.Second); reader == nil {
		return acknowledged, nil, errNoReader
	}
	for before := reader.store.lastListRead(); reader.store.lastListRead().Equal(before); {
		time.Sleep(time.Millisecond)
	}
	// The answer is still on its way to the host.
	time.Sleep(20 * time.Millisecond)
	if trouble {
		reader.store.setCut(true)
		st.rec.sayf("cut      %s is cut off from the store", reader.name)
	}
	apply()
	acknowledged = time.Now()
	st.rec.sayf("change   the store has acknowledged it")
	if trouble {
		time.Sleep(stopDelay)
		_ = reader.command.Process.Signal(syscall.SIGTERM)
		st.rec.sayf("stop     %s gets SIGTERM", reader.name)
	}
	time.Sleep(time.Until(acknowledged.Add(watchTime)))
	return acknowledged, reader, nil
}

// playDrain lets a runner leave and looks for requests that reach it too late.
func playDrain(_ context.Context, st *site, trouble bool) verdict {
	leaving := st.runners[0]
	acknowledged, reader, err := change(st, trouble, func() {
		leaving.setState("draining")
		st.store.PutTarget(leaving.id, leaving.entry())
	})
	if err != nil {
		return verdict{err: err}
	}
	late := 0
	hosts := st.hostOf()
	for _, rn := range leaving.allRuns() {
		from := hosts[rn.id]
		if after := rn.at.Sub(acknowledged); after > drainTime && from != nil && from != reader {
			late++
			st.rec.linef(rn.at, "late     %s reached %s from %s %d ms after the ack", rn.id, leaving.id, from.name, after.Milliseconds())
		}
	}
	st.rec.sayf("%d requests reached %s more than %s after the ack, from hosts that nothing had happened to", late, leaving.id, drainTime)
	return verdict{broken: late > 0}
}

// playRevoke takes a key away and looks for requests with it that are sent too late and run all the same.
func playRevoke(_ context.Context, st *site, trouble bool) verdict {
	acknowledged, reader, err := change(st, trouble, func() { st.store.Configure(7, 1, "k-1") })
	if err != nil {
		return verdict{err: err}
	}
	ran := map[string]bool{}
	for _, rn := range st.runners {
		for _, done := range rn.allRuns() {
			ran[done.id] = true
		}
	}
	late := 0
	st.mu.Lock()
	for _, rq := range st.requests {
		if after := rq.sent.Sub(acknowledged); rq.key == "k-2" && after > applyTime && rq.host != reader && ran[rq.id] {
			late++
			st.rec.linef(rq.sent, "late     %s sent to %s with the dropped key %d ms after the ack, and run", rq.id, rq.host.name, after.Milliseconds())
		}
	}
	st.mu.Unlock()
	st.rec.sayf("%d requests with the dropped key, sent more than %s after the ack to hosts that nothing had happened to, were run", late, applyTime)
	return verdict{broken: late > 0}
}

// hostOf returns the host that each finished request was sent to, by the id of the request.
func (st *site) hostOf() map[string]*host {
	st.mu.Lock()
	defer st.mu.Unlock()
	hosts := make(map[string]*host, len(st.requests))
	for _, rq := range st.requests {
		hosts[rq.id] = rq.host
	}
	return hosts
}
