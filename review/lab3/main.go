package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// The exit codes of a case.
const (
	codeHeld      = 0
	codeBroken    = 1
	codeCannotRun = 2
)

const (
	// timeLimit ends a case in time for the limit of 120 s for a script.
	timeLimit = 110 * time.Second
	// minServed is the number of sound requests below which too little was served to judge the rule.
	minServed = 50
)

var errTooLittle = errors.New("too little happened to judge the rule")

// site is a small deployment with its stand-ins.
type site struct {
	store   *standin.Store
	record  *recorder
	hosts   []*host
	mu      sync.Mutex
	runners []*runner
	// zones is the number of data centres.
	zones int
	// trouble is false when the case is played without its disruption.
	trouble bool
	// outage is true while the store is down.
	outage atomic.Bool
}

// siteSize is the size of a deployment.
type siteSize struct{ hosts, zones int }

// The sizes of the cases: a small deployment, and that of kaffivakt-router.
var (
	smallSite = siteSize{hosts: 4, zones: 2}
	wholeSite = siteSize{hosts: 12, zones: 4}
)

// scenario is a case; play plays it and reports whether the rule held.
type scenario struct {
	size siteSize
	play func(st *site) (held bool, err error)
}

var scenarios = map[string]scenario{
	"drill":      {smallSite, playDrill},
	"idle-crash": {smallSite, playIdleCrash},
	"trial":      {wholeSite, playTrial},
	"rejoin":     {smallSite, playRejoin},
	"amnesia":    {smallSite, playAmnesia},
}

func main() { os.Exit(run()) }

func run() int {
	var sc scenario
	found := false
	if len(os.Args) == 3 {
		sc, found = scenarios[os.Args[1]]
	}
	if !found {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE RECORD")
		return codeCannotRun
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return codeCannotRun
	}
	defer record.close()
	held, err := play(&sc, record)
	switch {
	case err != nil:
		record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return codeCannotRun
	case held:
		record.printf("the rule held")
		return codeHeld
	default:
		record.printf("the rule was broken")
		return codeBroken
	}
}

// verdict is the result of a case.
type verdict struct {
	held bool
	err  error
}

// play plays a case until its end, its time limit or a signal.
func play(sc *scenario, record *recorder) (held bool, err error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	directory, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	st := &site{store: standin.NewStore(), record: record, zones: sc.size.zones, trouble: os.Getenv("TROUBLE") != "0"}
	hosts, err := newHosts(directory, &sc.size, st.store.Address())
	if err != nil {
		return false, err
	}
	st.hosts = hosts
	defer st.close()
	ended := make(chan verdict, 1)
	go func() {
		held, err := sc.play(st)
		ended <- verdict{held, err}
	}()
	select {
	case result := <-ended:
		return result.held, result.err
	case got := <-signals:
		return false, fmt.Errorf("ended by a signal: %s", got)
	case <-time.After(timeLimit):
		return false, fmt.Errorf("not done within %s", timeLimit)
	}
}

// close ends all processes and stand-ins. LAB3_LOGS names a folder that keeps the logs of the hosts.
func (st *site) close() {
	for _, hs := range st.hosts {
		hs.end()
		if kept := os.Getenv("LAB3_LOGS"); kept != "" {
			text, _ := os.ReadFile(hs.logPath)
			_ = os.WriteFile(filepath.Join(kept, hs.name+".log"), text, 0o600)
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, rn := range st.runners {
		rn.close()
	}
	st.store.Close()
}

// addRunner starts a runner and registers it.
func (st *site) addRunner(version string, spec runnerSpec) error {
	rn, err := newRunner(st.store, st.record, loopbackAddress(runnerAddresses+len(st.runners)), version, spec)
	if err == nil {
		st.mu.Lock()
		st.runners = append(st.runners, rn)
		st.mu.Unlock()
	}
	return err
}

// startHosts starts all hosts and waits until they are ready.
func (st *site) startHosts() error {
	for _, hs := range st.hosts {
		if err := hs.start(); err != nil {
			return err
		}
	}
	for _, hs := range st.hosts {
		if err := hs.awaitReady(); err != nil {
			return err
		}
	}
	st.record.printf("%d hosts are ready", len(st.hosts))
	return nil
}

// configuration has the routes of a small deployment: streams that may be resumed, streams that may not, and bookings.
const configuration = `{"version":11,"routes":[
{"name":"chat","host":"ficu95.example","path_prefix":"/lohu930/","route_kind":"streaming","timeout_ms":12000,"latency_goal_ms":600,"priority":0,"service":"assistant","max_attempts":2,"stream_resume":true,"itl_target_ms":300,"session_affinity":true},
{"name":"reply","host":"ficu95.example","path_prefix":"/pufi791/","route_kind":"streaming","timeout_ms":10000,"latency_goal_ms":600,"priority":1,"service":"assistant","max_attempts":1,"stream_resume":false,"itl_target_ms":300,"session_affinity":true},
{"name":"booking","host":"ficu95.example","path_prefix":"/puxa403/","route_kind":"non_idempotent","timeout_ms":800,"latency_goal_ms":300,"priority":2,"service":"bookings","max_attempts":1}],
"services":[{"name":"assistant","health_path":"/healthz","max_connections":720,"inference_engine":{"slots":64,"kv_capacity_tokens":680532}},
{"name":"bookings","health_path":"/healthz","max_connections":192}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["` + usualKey + `"]},{"name":"pemo117","api_keys":["` + otherKey + `"]}]}`
