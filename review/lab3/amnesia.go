package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The traffic and the disruption of the case.
const (
	replyEngines  = 6
	replyBudget   = 10 * time.Second
	replyInterval = 80 * time.Millisecond
	taintedPart   = "dead4711"
	// taintedBurst is the number of tainted requests that come at first, one each taintedPause; then one comes each taintedInterval.
	taintedBurst    = 8
	taintedPause    = 400 * time.Millisecond
	taintedInterval = 4 * time.Second
	// countedTainted is the number of crashes after which, contactTime later, the rule counts; allowedTainted is what it allows.
	countedTainted = 5
	allowedTainted = 3
	// killDelay is the time from the fifth crash until all hosts are killed, and restartDelay that until they are started again.
	killDelay    = 3500 * time.Millisecond
	restartDelay = time.Second
	// afterKill is the length of the traffic after that, and maxBeforeKill bounds the time until the fifth crash.
	afterKill     = 45 * time.Second
	maxBeforeKill = 50 * time.Second
)

// playAmnesia kills all hosts at once after a prompt part has crashed five runners.
func playAmnesia(st *site) (held bool, err error) {
	st.store.PutConfiguration(configuration)
	crashes := &crashLog{}
	for index := range replyEngines {
		spec := st.chatRunner(index)
		spec.crashes = func(body string) bool { return strings.HasPrefix(body, taintedPart) }
		spec.onCrash = st.backAfterCrash(crashes)
		if err := st.addRunner(oldVersion, spec); err != nil {
			return false, err
		}
	}
	if err := st.startHosts(); err != nil {
		return false, err
	}
	var running sync.WaitGroup
	stop := make(chan struct{})
	served := 0
	running.Go(func() { served = st.sendReplies(replyInterval, usualKey, stop) })
	running.Go(func() { st.sendTainted(stop) })
	restarted, err := st.killAfter(crashes)
	close(stop)
	running.Wait()
	total, late := crashes.late(countedTainted, restarted)
	st.record.printf("tainted requests reached runners %d times, %d times later than %s after the fifth crash from hosts in touch", total, late, contactTime)
	if err == nil && (total < countedTainted || served < minServed) {
		err = errTooLittle
	}
	return late <= allowedTainted, err
}

// killAfter kills all hosts after the fifth crash, starts them again, and returns when they were started.
func (st *site) killAfter(crashes *crashLog) (restarted time.Time, err error) {
	for end := time.Now().Add(maxBeforeKill); crashes.at(countedTainted).IsZero() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(killDelay)
	if st.trouble {
		for _, hs := range st.hosts {
			hs.stop()
		}
		st.record.printf("all hosts killed")
		time.Sleep(restartDelay)
		restarted = time.Now()
		if err := st.startHosts(); err != nil {
			return restarted, err
		}
	}
	time.Sleep(afterKill)
	return restarted, nil
}

// sendReplies sends a sound request at each interval until stop is closed, and returns how many were served.
func (st *site) sendReplies(interval time.Duration, key string, stop <-chan struct{}) (served int) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var running sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	for number := 1; ; number++ {
		select {
		case <-stop:
			running.Wait()
			st.record.printf("%d sound streams were served, %d broke off after their first event", served, cut)
			return served
		case <-ticker.C:
		}
		running.Go(func() {
			out := st.sendReply(&call{id: fmt.Sprintf("a%015x", number), body: fmt.Sprintf("reply %d", number), key: key},
				fmt.Sprintf("%08x", number%20), number)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case out.status == http.StatusOK && out.err == nil:
				served++
			case out.lastEvent != "":
				cut++
			}
		})
	}
}

// sendTainted sends requests with the tainted part, no two alike, until stop is closed.
func (st *site) sendTainted(stop <-chan struct{}) {
	var running sync.WaitGroup
	defer running.Wait()
	for number := 1; ; number++ {
		pause := taintedInterval
		if number <= taintedBurst {
			pause = taintedPause
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		running.Go(func() { st.sendTaintedReply(number) })
	}
}

// sendTaintedReply sends a request with the tainted part and a number of its own.
func (st *site) sendTaintedReply(number int) {
	st.sendReply(&call{id: fmt.Sprintf("d%015x", number), body: fmt.Sprintf("%s %d", taintedPart, number)}, taintedPart, number)
}

// sendReply sends a request for a stream that can't be resumed, with a part in its prompt.
func (st *site) sendReply(cl *call, part string, number int) outcome {
	hs := st.hosts[number%len(st.hosts)]
	st.record.printf("client sends %s to %s, part %s", cl.id, hs.name, part)
	cl.method, cl.path, cl.budget = http.MethodPost, "/pufi791/2f", replyBudget
	cl.prefix = fmt.Sprintf("5c1e07a2:119,%s:580,%s:130", part, cl.id[8:])
	out := send(hs, cl)
	st.record.printf("client got %d to %s: %d events, error %v", out.status, cl.id, len(out.versions), out.err)
	return out
}
