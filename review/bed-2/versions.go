package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

const versionsConfiguration = `{"version":7,"routes":[{"name":"chat","host":"wuny96.example","path_prefix":"/chat/",` +
	`"route_kind":"streaming","timeout_ms":12000,"latency_goal_ms":600,"service":"assistant","max_attempts":3,"stream_resume":true,` +
	`"itl_target_ms":300,"priority":1}],"services":[{"name":"assistant","max_connections":720,"inference_engine":{"slots":64,` +
	`"kv_capacity_tokens":680532}}],"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,` +
	`"idle_timeout_ms":15000},"tenants":[{"name":"team","api_keys":["k1"]}]}`

const (
	versionRunners = 8
	versionEvents  = 40
	versionGap     = 60 * time.Millisecond
	versionClients = 40
	// downTime is how long a crashed runner is down, as in the site file's days.
	downTime = 2 * time.Second
	// stepTime is the time from one crash of a quarter of the runners to the next.
	stepTime = 2500 * time.Millisecond
	// mixedLimit is the number of streams with events of two versions that ORDER allows.
	mixedLimit = 2
	// drainTime is drain_ms.
	drainTime = 2 * time.Second
)

// versionsCase lets runners crash, which come back under their ids with the next software version. Without the trouble they drain
// before they are started again.
func versionsCase(binary string, log *record, trouble bool) (bool, error) {
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
	address := store.Address().String()
	fl, err := startFleet(binary, log, []string{address, address, address, address})
	if fl != nil {
		defer fl.stop()
	}
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	results := make(chan outcome, 10_000)
	var clients sync.WaitGroup
	for index := range versionClients {
		clients.Go(func() {
			sc := &streamClient{
				fleet: fl, log: log, events: versionEvents, budget: 12 * time.Second, tries: 2,
				client: &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}},
			}
			time.Sleep(time.Duration(index) * 50 * time.Millisecond)
			for count := 0; ; count++ {
				select {
				case <-stop:
					return
				default:
					results <- sc.run(fmt.Sprintf("%d.%d", index, count))
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	if err := upgrade(runners, trouble); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	close(results)
	return judgeVersions(log, results), nil
}

// upgrade starts all runners again with the next versions, a quarter at a time.
func upgrade(runners []*runner, trouble bool) error {
	for round := range 3 {
		version := fmt.Sprint(round + 2)
		for first := 0; first < len(runners); first += 2 {
			pair := runners[first : first+2]
			var draining sync.WaitGroup
			for _, rn := range pair {
				draining.Go(func() {
					if !trouble {
						rn.drain(drainTime)
					}
					rn.crash()
				})
			}
			draining.Wait()
			time.Sleep(downTime)
			for _, rn := range pair {
				if err := rn.start(version); err != nil {
					return err
				}
			}
			time.Sleep(stepTime - downTime)
		}
		time.Sleep(3 * time.Second)
	}
	return nil
}

// judgeVersions applies ORDER to what the clients got.
func judgeVersions(log *record, results <-chan outcome) bool {
	total, complete, mixed, wrong := 0, 0, 0, 0
	for result := range results {
		total++
		if result.complete {
			complete++
		}
		if len(result.versions) > 1 {
			mixed++
		}
		if result.wrong {
			wrong++
		}
	}
	log.printf("%d streams, %d complete, %d with events of two versions, %d with a missing or repeated event", total, complete, mixed, wrong)
	fmt.Printf("%d streams, %d complete, %d with events of two versions, %d with a missing or repeated event\n", total, complete, mixed, wrong)
	return mixed > mixedLimit || wrong > 0
}
