package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

const (
	killedHosts   = 6
	killedClients = 60
	// shortEvents is that of roster-digest; each event holds seven tokens, and a step takes 2.97 ms and more.
	shortEvents = 3
	shortGap    = 25 * time.Millisecond
	// kills is the number of hosts that are killed one after the other, killPause the time between two kills, and downPause the time
	// until a killed host is started again.
	kills     = 6
	killPause = 6 * time.Second
	downPause = time.Second
)

// killedCase kills hosts while a service has runners of two software versions. Clients take up short streams at other hosts.
func killedCase(binary string, log *record, trouble bool) (bool, error) {
	store := standin.NewStore()
	defer store.Close()
	store.PutConfiguration(versionsConfiguration)
	for index := range versionRunners {
		version := fmt.Sprint(1 + index/(versionRunners/2))
		rn, err := newRunner(fmt.Sprintf("i-%d", index+1), "assistant", zones[index%len(zones)], version, shortEvents, shortGap, store, log)
		if err != nil {
			return false, err
		}
		defer rn.crash()
	}
	addresses := make([]string, 0, killedHosts)
	for range killedHosts {
		addresses = append(addresses, store.Address().String())
	}
	fl, err := startFleet(binary, log, addresses)
	if fl != nil {
		defer fl.stop()
	}
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	fl.balance(stop)
	var mu sync.Mutex
	var attempts []attempt
	var clients sync.WaitGroup
	for index := range killedClients {
		clients.Go(func() {
			sc := &streamClient{
				fleet: fl, log: log, events: shortEvents, budget: 2500 * time.Millisecond, tries: 2,
				client: &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}},
				ended: func(at attempt) {
					mu.Lock()
					defer mu.Unlock()
					attempts = append(attempts, at)
				},
			}
			time.Sleep(time.Duration(index) * 20 * time.Millisecond)
			for count := 0; ; count++ {
				select {
				case <-stop:
					return
				default:
					sc.run(fmt.Sprintf("%d.%d", index, count))
				}
			}
		})
	}
	time.Sleep(6 * time.Second)
	down := map[*host]outage{}
	for index := range kills {
		hs := fl.hosts[index]
		if trouble {
			killedAt := time.Now()
			fl.signal(hs, syscall.SIGKILL)
			time.Sleep(downPause)
			if err := fl.restart(hs); err != nil {
				return false, err
			}
			down[hs] = outage{killedAt: killedAt, startedAt: time.Now()}
		}
		time.Sleep(killPause - downPause)
	}
	close(stop)
	clients.Wait()
	return judgeKilled(log, attempts, down), nil
}

// contact is contact_ms, for which a host does not count after it was killed or started.
const contact = 3 * time.Second

// outage is the time from the kill of a host to its next start.
type outage struct{ killedAt, startedAt time.Time }

// judgeKilled applies LOST to the attempts at hosts that were not killed or started within contact before, nor killed right after.
func judgeKilled(log *record, attempts []attempt, down map[*host]outage) bool {
	resumed, goOn, begun, begin := 0, 0, 0, 0
	for _, at := range attempts {
		killed, found := down[at.host]
		excused := found && at.sentAt.After(killed.killedAt.Add(-time.Second)) && at.sentAt.Before(killed.startedAt.Add(contact))
		switch {
		case excused:
		case at.resumes && at.goesOn:
			resumed++
			goOn++
		case at.resumes:
			resumed++
		case at.goesOn:
			begun++
			begin++
		default:
			begun++
		}
	}
	text := fmt.Sprintf("%d streams were taken up again, %d of them went on; of %d new streams %d began", resumed, goOn, begun, begin)
	log.printf("%s", text)
	fmt.Println(text)
	return resumed >= resumedAtLeast && float64(goOn)/float64(resumed) < 0.5*float64(begin)/float64(begun)
}
