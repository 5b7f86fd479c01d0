package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

const (
	resumedHosts   = 6
	resumedClients = 160
	// freezeTime is how long the host stands still, as in the site file's troubles.
	freezeTime = 4 * time.Second
	// releaseDelay is the time from the start of the freeze to the start of the release.
	releaseDelay = time.Second
	// releaseStep is the time between two replacements of a runner, replacements their number: a quarter of the runners.
	releaseStep  = 1500 * time.Millisecond
	replacements = 2
	// resumedAtLeast is the number of streams taken up again from which on LOST applies.
	resumedAtLeast = 12
)

// resumedCase lets a host stand still while a release begins. Clients whose streams make no progress take them up at other hosts.
func resumedCase(binary string, log *record, trouble bool) (bool, error) {
	store := standin.NewStore()
	defer store.Close()
	store.PutConfiguration(versionsConfiguration)
	var runners []*runner
	for index := range versionRunners {
		rn, err := newRunner(fmt.Sprintf("i-%d", index+1), "assistant", zones[index%len(zones)], "1", versionEvents, versionGap, store, log)
		if err != nil {
			return false, err
		}
		defer rn.crash()
		runners = append(runners, rn)
	}
	addresses := make([]string, 0, resumedHosts)
	for range resumedHosts {
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
	for index := range resumedClients {
		clients.Go(func() {
			sc := &streamClient{
				fleet: fl, log: log, events: versionEvents, budget: 12 * time.Second, tries: 2,
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
	frozen, started := fl.hosts[resumedHosts-1], time.Now()
	if trouble {
		fl.signal(frozen, syscall.SIGSTOP)
	}
	time.Sleep(releaseDelay)
	var added []*runner
	if os.Getenv("RELEASE") != "0" {
		added, err = release(runners[:replacements], store, log)
	}
	for _, rn := range added {
		defer rn.crash()
	}
	time.Sleep(time.Until(started.Add(freezeTime)))
	if trouble {
		fl.signal(frozen, syscall.SIGCONT)
	}
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	return judgeResumed(log, attempts, frozen, started), nil
}

// release replaces runners one after the other with runners of the next version: the new one starts first, the old one drains.
func release(old []*runner, store entryStore, log *record) (added []*runner, err error) {
	for index, rn := range old {
		next, err := newRunner(fmt.Sprintf("i-next-%d", index+1), rn.service, rn.zone, "2", versionEvents, versionGap, store, log)
		if err != nil {
			return added, err
		}
		added = append(added, next)
		rn.leave()
		time.Sleep(releaseStep)
	}
	return added, nil
}

// judgeResumed applies LOST to the streams that clients took up again, and to the new ones, at hosts other than the frozen one.
func judgeResumed(log *record, attempts []attempt, frozen *host, started time.Time) bool {
	resumed, goOn, begun, begin := 0, 0, 0, 0
	for _, at := range attempts {
		if at.host == frozen || at.sentAt.Before(started) {
			continue
		}
		if at.resumes {
			resumed++
			if at.goesOn {
				goOn++
			}
			continue
		}
		begun++
		if at.goesOn {
			begin++
		}
	}
	text := fmt.Sprintf("%d streams were taken up again, %d of them went on; of %d new streams %d began", resumed, goOn, begun, begin)
	log.printf("%s", text)
	fmt.Println(text)
	return resumed >= resumedAtLeast && float64(goOn)/float64(resumed) < 0.5*float64(begin)/float64(begun)
}
