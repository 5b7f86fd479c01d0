package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// The traffic and the disruption of the case.
const (
	oldEngines = 3
	// joinTime is the time of traffic before a runner of the next version joins, and sinceJoin that from then until the drill.
	joinTime  = 4 * time.Second
	sinceJoin = 4 * time.Second
	// copyAge is the age of the copy from which the store comes back, awayTime the time for which it is away.
	copyAge  = 4500 * time.Millisecond
	awayTime = time.Second
	// registerTime is the time from the store's return until the runner that joined is registered again.
	registerTime = 1500 * time.Millisecond
	drillLength  = 10 * time.Second
	// A client takes its stream up once, retryPause after it broke.
	drillTries = 2
	retryPause = 1500 * time.Millisecond
)

// playDrill restores the store from a copy of before a runner of the next version joined, and kills all hosts at the same moment.
func playDrill(st *site) (held bool, err error) {
	st.store.PutConfiguration(configuration)
	for index := range oldEngines {
		if err := st.addRunner(oldVersion, st.chatRunner(index)); err != nil {
			return false, err
		}
	}
	if err := st.startHosts(); err != nil {
		return false, err
	}
	tally := &streamTally{}
	var running sync.WaitGroup
	stop := make(chan struct{})
	running.Go(func() { st.sendStreams(stop, tally, &streamPlan{tries: drillTries, pause: retryPause}) })
	time.Sleep(joinTime)
	if err := st.addRunner(newVersion, st.chatRunner(oldEngines)); err != nil {
		return false, err
	}
	time.Sleep(sinceJoin)
	if st.trouble {
		err = st.drill()
	}
	time.Sleep(drillLength)
	close(stop)
	running.Wait()
	held = tally.held(st.record)
	if err == nil && tally.complete < minServed {
		err = errTooLittle
	}
	return held, err
}

// drill takes the store away and brings it back from the copy, while all hosts are killed and started again.
func (st *site) drill() error {
	st.outage.Store(true)
	st.record.printf("store away, all hosts killed")
	for _, hs := range st.hosts {
		hs.stop()
	}
	var restoring sync.WaitGroup
	restoring.Go(func() {
		st.store.Restore(standin.RestorePlan{BackupAge: copyAge, Downtime: awayTime, RewriteTime: -1})
		st.record.printf("store back from a copy")
		time.Sleep(registerTime)
		st.outage.Store(false)
		for _, rn := range st.runners {
			rn.register()
		}
		st.record.printf("runners registered again")
	})
	time.Sleep(restartDelay)
	err := st.startHosts()
	restoring.Wait()
	return err
}

// chatRunner returns a runner of the streams that can be resumed.
func (st *site) chatRunner(index int) runnerSpec {
	return runnerSpec{
		id: fmt.Sprintf("i-7f3a91c%d", index), service: "assistant", zone: zoneName(index, st.zones), slots: 64,
		events: streamEvents, gap: eventGap, storeDown: st.outage.Load,
	}
}
