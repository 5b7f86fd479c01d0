package main

import (
	"sync"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// The traffic and the disruption of the case.
const (
	engineCount = 4
	settleTime  = 3 * time.Second
	// outageLength is how long the store is down. A runner crashes crashDelay after its start, and another one betweenCrashes later; each is
	// back after downTime.
	outageLength   = 8 * time.Second
	crashDelay     = 500 * time.Millisecond
	betweenCrashes = 5 * time.Second
	downTime       = 2 * time.Second
	// restTime is the time of traffic after the second runner is back.
	restTime = 6 * time.Second
)

// playInPlace lets two runners crash, one after the other, while the store is down. Each is back under its id, with the next version of
// its software.
func playInPlace(st *site) (held bool, err error) {
	st.store.PutConfiguration(configuration)
	for index := range engineCount {
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
	running.Go(func() { st.sendStreams(stop, tally, 0) })
	time.Sleep(settleTime)
	if st.trouble {
		err = st.upgradeInPlace()
	}
	time.Sleep(restTime)
	close(stop)
	running.Wait()
	return tally.held(st.record), err
}

func (st *site) upgradeInPlace() error {
	st.outage.Store(true)
	st.store.SetFault(standin.Resets)
	st.record.printf("store down")
	time.AfterFunc(outageLength, func() {
		st.store.SetFault(standin.Healthy)
		st.outage.Store(false)
		st.record.printf("store up")
	})
	time.Sleep(crashDelay)
	for index, rn := range st.runners[:2] {
		if index > 0 {
			time.Sleep(betweenCrashes - downTime)
		}
		rn.crash()
		time.Sleep(downTime)
		if err := rn.restart(newVersion); err != nil {
			return err
		}
	}
	return nil
}
