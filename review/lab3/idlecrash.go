package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The traffic and the disruption of the case.
const (
	bookingRunners = 2
	bookingWork    = 60 * time.Millisecond
	bookingBudget  = 1500 * time.Millisecond
	// bookingInterval is the time between two bookings at each host, bookingPhase that from the booking
	// of the first host to those of the others.
	bookingInterval = 1300 * time.Millisecond
	bookingPhase    = 1110 * time.Millisecond
	// deadlyRounds is the number of bookings of a host from one deadly request to the next one, deadlyPause the time from the latest
	// booking at its host. The bookings of the other hosts are running then.
	deadlyRounds    = 4
	deadlyPause     = 1140 * time.Millisecond
	recoverTime     = 2 * time.Second
	idleCrashLength = 60 * time.Second
	deadlyBody      = "cover shift 4711"
	// countedCrashes is the number of crashes after which, contactTime later, the rule counts; allowedRetries is what it allows.
	countedCrashes = 3
	contactTime    = 3 * time.Second
	allowedRetries = 3
)

// crashLog records when requests crashed runners.
type crashLog struct {
	mu    sync.Mutex
	times []time.Time
}

func (cl *crashLog) add() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.times = append(cl.times, time.Now())
}

// at returns the time of the crash with the number, from 1; zero before that.
func (cl *crashLog) at(number int) time.Time {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.times) < number {
		return time.Time{}
	}
	return cl.times[number-1]
}

// late returns the number of crashes, and of those that came later than contactTime after the one with the number, from hosts that had
// run for contactTime; a zero start stands for hosts that were never started again.
func (cl *crashLog) late(number int, restarted time.Time) (total, late int) {
	counted := cl.at(number)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, at := range cl.times {
		inTouch := restarted.IsZero() || at.Before(restarted) || at.After(restarted.Add(contactTime))
		if !counted.IsZero() && at.Sub(counted) > contactTime && inTouch {
			late++
		}
	}
	return len(cl.times), late
}

// bookings sends bookings and counts the sound ones that failed.
type bookings struct {
	site    *site
	running sync.WaitGroup
	mu      sync.Mutex
	sent    int
	failed  int
}

// send sends a booking to a host and does not wait for its answer.
func (bk *bookings) send(hs *host, body string) {
	bk.mu.Lock()
	bk.sent++
	id := fmt.Sprintf("b%015x", bk.sent)
	bk.mu.Unlock()
	record := bk.site.record
	bk.running.Go(func() {
		record.printf("client sends %s to %s: %s", id, hs.name, body)
		out := send(hs, &call{id: id, method: http.MethodPost, path: "/puxa403/2f", body: body, budget: bookingBudget})
		record.printf("client got %d to %s, error %v", out.status, id, out.err)
		if body != deadlyBody && out.status != http.StatusOK {
			bk.mu.Lock()
			defer bk.mu.Unlock()
			bk.failed++
		}
	})
}

// playIdleCrash sends few bookings, and one that crashes each runner that begins to run it and comes again and again.
func playIdleCrash(st *site) (held bool, err error) {
	st.store.PutConfiguration(configuration)
	crashes := &crashLog{}
	for index := range bookingRunners {
		err := st.addRunner(oldVersion, runnerSpec{
			id: fmt.Sprintf("i-02d9e6b%d", index), service: "bookings", zone: zoneName(index, st.zones), slots: 6, work: bookingWork,
			crashes: func(body string) bool { return body == deadlyBody }, onCrash: st.backAfterCrash(crashes),
		})
		if err != nil {
			return false, err
		}
	}
	if err := st.startHosts(); err != nil {
		return false, err
	}
	bk := &bookings{site: st}
	ticker := time.NewTicker(bookingInterval)
	defer ticker.Stop()
	round := 0
	for started := time.Now(); time.Since(started) < idleCrashLength; <-ticker.C {
		round++
		for index, hs := range st.hosts {
			number := round
			time.AfterFunc(time.Duration(min(index, 1))*bookingPhase, func() { bk.send(hs, fmt.Sprintf("cover shift %d-%d", number, index)) })
		}
		if st.trouble && round%deadlyRounds == 0 {
			time.AfterFunc(deadlyPause, func() { bk.send(st.hosts[0], deadlyBody) })
		}
	}
	time.Sleep(2 * bookingInterval)
	bk.running.Wait()
	total, late := crashes.late(countedCrashes, time.Time{})
	st.record.printf("%d bookings, %d sound ones not served; the deadly one reached runners %d times, %d times later than %s after the third crash",
		bk.sent, bk.failed, total, late, contactTime)
	if bk.sent-bk.failed < minServed || st.trouble && total < countedCrashes {
		return false, errTooLittle
	}
	return late <= allowedRetries, nil
}

// backAfterCrash returns a function that records a crash of a runner and starts the runner again after recoverTime.
func (st *site) backAfterCrash(crashes *crashLog) func(rn *runner) {
	return func(rn *runner) {
		crashes.add()
		st.record.printf("a request has crashed runner %s", rn.id)
		time.AfterFunc(recoverTime, func() {
			if err := rn.restart(oldVersion); err != nil {
				st.record.printf("runner %s is not back: %v", rn.id, err)
			}
		})
	}
}
