package main

import (
	"context"
	"syscall"
	"time"
)

const (
	// killDelay is the time from the store's ack to the kill; the host that reads the list reads it again 0.7 s after the last read.
	killDelay = 630 * time.Millisecond
	// downTime is the time from the kill to the next start of the killed hosts.
	downTime = 2 * time.Second
)

// isVictim reports whether the host with the index is one of the two of four that are killed: the one that reads the list, and the one
// that would be the next to do so.
func isVictim(index int) bool { return index == 0 || index == 3 }

// playPages adds runners until their list takes two pages of the store, lets a runner leave, and with trouble kills two hosts.
func playPages(ctx context.Context, st *site, trouble bool) verdict {
	first := len(st.runners)
	if err := st.addAssistants(moreAssistants); err != nil {
		return verdict{err: err}
	}
	st.beatAll(ctx, first)
	time.Sleep(settleTime)
	reader := st.awaitListReader(5 * time.Second)
	if reader != st.hosts[3] {
		return verdict{err: errNoReader}
	}
	for before := reader.store.lastListRead(); reader.store.lastListRead().Equal(before); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	leaving := st.runners[0]
	leaving.setState("draining")
	st.store.PutTarget(leaving.id, leaving.entry())
	acknowledged := time.Now()
	st.rec.sayf("change   the store has acknowledged that %s is draining", leaving.id)
	time.Sleep(killDelay)
	if trouble {
		for index, hs := range st.hosts {
			if isVictim(index) {
				_ = hs.command.Process.Signal(syscall.SIGKILL)
				st.rec.sayf("kill     %s", hs.name)
			}
		}
		time.Sleep(downTime)
		for index, hs := range st.hosts {
			if !isVictim(index) {
				continue
			}
			<-hs.exited
			if err := st.start(hs); err != nil {
				return verdict{err: err}
			}
		}
	}
	time.Sleep(time.Until(acknowledged.Add(watchTime)))
	late, hosts := 0, st.hostOf()
	for _, rn := range leaving.allRuns() {
		after := rn.at.Sub(acknowledged)
		if from := hosts[rn.id]; after > drainTime && (from == st.hosts[1] || from == st.hosts[2]) {
			late++
			st.rec.linef(rn.at, "late     %s reached %s %d ms after the ack", rn.id, leaving.id, after.Milliseconds())
		}
	}
	st.rec.sayf("%d requests reached %s more than %s after the ack, from hosts that nothing had happened to", late, leaving.id, drainTime)
	return verdict{broken: late > 0}
}
