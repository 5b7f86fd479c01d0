package main

import (
	"sync"
	"time"
)

// The traffic and the disruption of the case.
const (
	rejoinBefore = 5 * time.Second
	// releaseDelay is the time from the kill of all hosts until runners of the next version join.
	releaseDelay = 500 * time.Millisecond
	rejoinLength = 9 * time.Second
	// A client takes its stream up once, rejoinPause after it broke: hosts that started again have run for contactTime then.
	rejoinPause   = 4500 * time.Millisecond
	rejoinTries   = 2
	minTakenUp    = 12
	takenUpFactor = 0.5
)

// takeUps counts streams that were taken up, and new ones, at hosts in touch.
type takeUps struct {
	mu sync.Mutex
	// inTouch is the time from which hosts count.
	inTouch                            time.Time
	takenUp, wentOn, newStreams, begun int
}

// observe records a try of a client.
func (tu *takeUps) observe(tr *try) {
	tu.mu.Lock()
	defer tu.mu.Unlock()
	if tu.inTouch.IsZero() || tr.sent.Before(tu.inTouch) {
		return
	}
	began := len(tr.out.versions) > 0
	switch {
	case tr.lastEvent != "":
		tu.takenUp++
		if began {
			tu.wentOn++
		}
	default:
		tu.newStreams++
		if began {
			tu.begun++
		}
	}
}

// held reports whether the rule held, and writes the counts to the record.
func (tu *takeUps) held(record *recorder) bool {
	tu.mu.Lock()
	defer tu.mu.Unlock()
	record.printf("at hosts in touch %d streams were taken up, %d went on; of %d new streams %d began", tu.takenUp, tu.wentOn, tu.newStreams, tu.begun)
	if tu.takenUp < minTakenUp || tu.newStreams == 0 {
		return true
	}
	return float64(tu.wentOn)/float64(tu.takenUp) >= takenUpFactor*float64(tu.begun)/float64(tu.newStreams)
}

// playRejoin kills all hosts as a release begins.
func playRejoin(st *site) (held bool, err error) {
	st.store.PutConfiguration(configuration)
	for index := range oldEngines {
		if err := st.addRunner(oldVersion, st.chatRunner(index)); err != nil {
			return false, err
		}
	}
	if err := st.startHosts(); err != nil {
		return false, err
	}
	tally, counts := &streamTally{}, &takeUps{}
	var running sync.WaitGroup
	stop := make(chan struct{})
	running.Go(func() {
		st.sendStreams(stop, tally, &streamPlan{tries: rejoinTries, pause: rejoinPause, observe: counts.observe})
	})
	time.Sleep(rejoinBefore)
	if st.trouble {
		for _, hs := range st.hosts {
			hs.stop()
		}
		st.record.printf("all hosts killed")
	}
	time.Sleep(releaseDelay)
	if err := st.addRunner(newVersion, st.chatRunner(oldEngines)); err != nil {
		return false, err
	}
	time.Sleep(restartDelay - releaseDelay)
	started := time.Now()
	if st.trouble {
		err = st.startHosts()
	}
	counts.mu.Lock()
	counts.inTouch = started.Add(contactTime)
	counts.mu.Unlock()
	time.Sleep(rejoinLength)
	close(stop)
	running.Wait()
	tally.held(st.record)
	held = counts.held(st.record)
	if err == nil && (tally.complete < minServed || st.trouble && counts.takenUp < minTakenUp) {
		err = errTooLittle
	}
	return held, err
}
