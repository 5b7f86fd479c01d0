package process

import (
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/load"
	"github.com/chestnutroad/chestnutroad/internal/operator"
	"github.com/chestnutroad/chestnutroad/internal/standin"
	"github.com/chestnutroad/chestnutroad/internal/standin/engine"
	"github.com/chestnutroad/chestnutroad/internal/standin/hostlist"
)

// TestFaults guards against chats that get no complete answer, and orders that are lost or run twice, when a router, the log, an
// engine's connections or a stream fails under load.
func TestFaults(t *testing.T) {
	tests := []struct {
		name string
		// injectAt and clearAt are the times from the start of the traffic to the start and the end of the fault.
		injectAt, clearAt time.Duration
		inject, clear     func(t *testing.T, fl *fleet)
		// allowedRefusals lists the kinds of refusal that callers may get before a retry succeeds.
		allowedRefusals []chestnutroad.Kind
	}{
		{
			name: "a router is stopped gracefully", injectAt: 2 * time.Second,
			inject: func(_ *testing.T, fl *fleet) { fl.routers[1].signal(syscall.SIGTERM) },
		},
		{
			name: "the owner of a chat shard is paused and resumed", injectAt: 2 * time.Second, clearAt: 10 * time.Second,
			allowedRefusals: ownerOutageRefusals,
			inject:          func(t *testing.T, fl *fleet) { fl.ownerOf(t, "assistant", "poznan-a").signal(syscall.SIGSTOP) },
			clear:           func(_ *testing.T, fl *fleet) { fl.signalAll(syscall.SIGCONT) },
		},
		{
			name: "the owner of an order shard is paused and resumed", injectAt: 2 * time.Second, clearAt: 10 * time.Second,
			allowedRefusals: ownerOutageRefusals,
			inject:          func(t *testing.T, fl *fleet) { fl.ownerOf(t, "orders", "konin").signal(syscall.SIGSTOP) },
			clear:           func(_ *testing.T, fl *fleet) { fl.signalAll(syscall.SIGCONT) },
		},
		{
			name: "the log is down", injectAt: 2 * time.Second, clearAt: 5 * time.Second,
			allowedRefusals: logOutageRefusals,
			inject:          func(t *testing.T, fl *fleet) { setFaults(t, fl.log, standin.Faults{Down: true}) },
			clear:           func(t *testing.T, fl *fleet) { setFaults(t, fl.log, standin.Faults{}) },
		},
		{
			name: "the log loses answers", injectAt: time.Second, allowedRefusals: logOutageRefusals,
			inject: func(t *testing.T, fl *fleet) { setFaults(t, fl.log, standin.Faults{LoseAnswers: 20}) },
		},
		{
			name: "an engine's connections go silent", injectAt: 2 * time.Second,
			inject: func(t *testing.T, fl *fleet) {
				if err := standin.NewControl(fl.engines[1].address).Silence(t.Context()); err != nil {
					t.Error(err)
				}
			},
		},
		{
			name: "streams are cut off", injectAt: time.Second,
			inject: func(t *testing.T, fl *fleet) {
				setFaults(t, fl.engines[2], standin.Faults{CutStreams: 10, CutAfter: 7, CutCleanly: true})
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fl := startFleet(t, 6)
			injectTimer := time.AfterFunc(tt.injectAt, func() { tt.inject(t, fl) })
			defer injectTimer.Stop()
			if tt.clear != nil {
				clearTimer := time.AfterFunc(tt.clearAt, func() { tt.clear(t, fl) })
				defer clearTimer.Stop()
			}
			duration := max(tt.clearAt, tt.injectAt) + 3*time.Second
			report := load.Run(t.Context(), fl.plan(duration))
			summary := report.Summary()
			t.Logf("%+v", summary)
			if summary.ChatsAnswered != summary.ChatsSent || summary.Wrong > 0 {
				t.Errorf("%d of %d chats got a complete answer, %d a wrong one", summary.ChatsAnswered, summary.ChatsSent, summary.Wrong)
			}
			if missing := summary.OrdersSent - summary.OrdersAnswered; missing > 0 {
				t.Errorf("%d of %d orders have no answer", missing, summary.OrdersSent)
			}
			if summary.Broken["stream"] > 0 {
				t.Errorf("%d streams to callers were cut off", summary.Broken["stream"])
			}
			for kind, count := range summary.Refused {
				if !slices.Contains(tt.allowedRefusals, kind) {
					t.Errorf("%d unexpected refusals of the kind %s", count, kind)
				}
			}
			fl.checkOrders(t, report)
		})
	}
}

var (
	// logOutageRefusals are the kinds of refusal that are allowed while the log can't confirm orders.
	logOutageRefusals = []chestnutroad.Kind{chestnutroad.LogUnavailable}
	// ownerOutageRefusals are the kinds of refusal that are allowed while a shard's owner can't be reached and another router takes
	// the shard over.
	ownerOutageRefusals = []chestnutroad.Kind{
		chestnutroad.StreamBroken, chestnutroad.NoTarget, chestnutroad.OutcomeUnknown, chestnutroad.InProgress,
		chestnutroad.LogUnavailable,
	}
)

// setFaults replaces the faults that a stand-in injects.
func setFaults(t *testing.T, ps *process, faults standin.Faults) {
	t.Helper()
	if err := standin.NewControl(ps.address).SetFaults(t.Context(), faults); err != nil {
		t.Error(err)
	}
}

// signalAll sends a signal to all routers.
func (fl *fleet) signalAll(signal syscall.Signal) {
	for _, rt := range fl.routers {
		rt.signal(signal)
	}
}

func (rt *router) status(t *testing.T) operator.Status {
	t.Helper()
	var status operator.Status
	if err := getJSON(t, "http://"+rt.operator+operator.PathStatus, &status); err != nil {
		t.Fatalf("%s: %v", rt.id, err)
	}
	return status
}

// ownerOf returns the router that owns the shard of a service in a data centre, as the first router's status shows it.
func (fl *fleet) ownerOf(t *testing.T, service, centre string) *router {
	t.Helper()
	for _, shard := range fl.routers[0].status(t).Shards {
		if !strings.HasSuffix(shard.Pool, "/"+service) || string(shard.DataCentre) != centre {
			continue
		}
		for _, rt := range fl.routers {
			if rt.id == string(shard.Owner) {
				return rt
			}
		}
	}
	t.Fatalf("no router owns the shard of %s in %s", service, centre)
	return nil
}

// leavingLimit is the time from a change of the host list after which a leaving target must get no new requests.
const leavingLimit = 3 * time.Second

// TestLeavingEngine guards against new requests to an engine that the host list marks as leaving, and against cutting off the
// streams that it still serves.
func TestLeavingEngine(t *testing.T) {
	fl := startFleet(t, 3)
	startedRequests := func() int {
		statistics, err := engine.ReadStatistics(t.Context(), standin.NewControl(fl.engines[0].address))
		if err != nil {
			t.Error(err)
		}
		return statistics.Started
	}
	var atLimit int
	leave := time.AfterFunc(2*time.Second, func() {
		leaving := listedTarget("engine-1", "assistant", centres[0], fl.engines[0].address)
		leaving.Leaving = true
		if err := hostlist.PutHost(t.Context(), standin.NewControl(fl.hostList.address), leaving); err != nil {
			t.Error(err)
		}
	})
	defer leave.Stop()
	check := time.AfterFunc(2*time.Second+leavingLimit, func() { atLimit = startedRequests() })
	defer check.Stop()
	summary := load.Run(t.Context(), fl.plan(8*time.Second)).Summary()
	if atLimit == 0 {
		t.Fatalf("the engine had started no request %v after it was marked as leaving", leavingLimit)
	}
	if later := startedRequests(); later != atLimit {
		t.Errorf("%d requests started on the engine after %v", later-atLimit, leavingLimit)
	}
	if summary.ChatsAnswered != summary.ChatsSent || summary.Broken["stream"] > 0 {
		t.Errorf("%d of %d chats got a complete answer, %d streams were cut off", summary.ChatsAnswered, summary.ChatsSent,
			summary.Broken["stream"])
	}
}

// inForceLimit is the time after its acceptance within which a version must be in force on every router.
const inForceLimit = 10 * time.Second

// TestRacingOperators guards against two operators who publish at the same time with the same parent version and both get the
// report that their change was accepted, and against an accepted version that is in force late or never on some routers.
func TestRacingOperators(t *testing.T) {
	fl := startFleet(t, 6)
	var group sync.WaitGroup
	codes := make([]int, 4)
	outputs := make([]string, 4)
	for index := range codes {
		group.Go(func() {
			command := exec.CommandContext(t.Context(), binaries.chestnutroad, "config", "publish", "--log", fl.log.address,
				"--parent", "1", "../../examples/warta/base.toml", "../../examples/warta/wielkopolska.toml")
			output, _ := command.CombinedOutput()
			codes[index] = command.ProcessState.ExitCode()
			outputs[index] = string(output)
		})
	}
	group.Wait()
	accepted := 0
	for index, code := range codes {
		switch code {
		case 0:
			accepted++
		case 1:
		default:
			t.Errorf("publisher %d exited with code %d: %s", index, code, outputs[index])
		}
	}
	if accepted != 1 {
		t.Errorf("%d of 4 concurrent publishers reported that their change was accepted, want 1: %q", accepted, outputs)
	}
	fl.awaitVersion(t, fl.routers, 2)
}

// awaitVersion waits until the version is in force on all the routers; the test fails after inForceLimit.
func (fl *fleet) awaitVersion(t *testing.T, routers []*router, version chestnutroad.Version) {
	t.Helper()
	started := time.Now()
	for _, rt := range routers {
		for {
			current := rt.status(t).Configuration.Version
			if current == version {
				break
			}
			if current > version || time.Since(started) > inForceLimit {
				t.Fatalf("%s has version %d in force after %v, want %d", rt.id, current, time.Since(started), version)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	t.Logf("version %d was in force on %d routers after %v", version, len(routers), time.Since(started))
}

// TestEmptyRouterDuringLogOutage guards against a router that starts without state while the log is down and serves without the
// accepted configuration, or with an older one. It can't read the log, so it must get the configuration from other routers.
func TestEmptyRouterDuringLogOutage(t *testing.T) {
	fl := startFleet(t, 3)
	fl.publish(t)
	fl.awaitVersion(t, fl.routers, 2)
	setFaults(t, fl.log, standin.Faults{Down: true})
	restarted := fl.routers[2]
	restarted.signal(syscall.SIGKILL)
	<-restarted.exited
	restarted.start(t)
	deadline := time.Now().Add(readyTimeout)
	for {
		readiness, err := restarted.readiness(t)
		if err == nil && readiness.Ready {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the restarted router is not ready after %v: %+v, %v", readyTimeout, readiness, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	fl.awaitVersion(t, fl.routers, 2)
	plan := fl.plan(2 * time.Second)
	plan.OrderPath = ""
	plan.OrderShare = 0
	plan.Entries = []string{"http://" + restarted.caller}
	if summary := load.Run(t.Context(), plan).Summary(); summary.ChatsAnswered != summary.ChatsSent {
		t.Errorf("%d of %d chats through the restarted router got a complete answer", summary.ChatsAnswered, summary.ChatsSent)
	}
}
