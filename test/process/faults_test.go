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

// TestFaults guards against chats that stay without their whole answer, and orders that are lost or run twice, while
// something fails in the middle of the traffic.
func TestFaults(t *testing.T) {
	tests := []struct {
		name string
		// after is when the fault begins and until when it ends, both counted from the start of the traffic.
		after, until time.Duration
		begin, end   func(t *testing.T, fl *fleet)
		// refused are the kinds of refusal that callers may see before a repeat succeeds.
		refused []chestnutroad.Kind
	}{
		{
			name: "a router stops as planned", after: 2 * time.Second,
			begin: func(_ *testing.T, fl *fleet) { fl.routers[1].signal(syscall.SIGTERM) },
		},
		{
			name: "an owner is frozen and wakes", after: 2 * time.Second, until: 10 * time.Second, refused: ownerLost,
			begin: func(t *testing.T, fl *fleet) { fl.ownerOf(t, "assistant", "poznan-a").signal(syscall.SIGSTOP) },
			end:   func(_ *testing.T, fl *fleet) { fl.signalAll(syscall.SIGCONT) },
		},
		{
			name: "the owner of an order shard is frozen and wakes", after: 2 * time.Second, until: 10 * time.Second, refused: ownerLost,
			begin: func(t *testing.T, fl *fleet) { fl.ownerOf(t, "orders", "konin").signal(syscall.SIGSTOP) },
			end:   func(_ *testing.T, fl *fleet) { fl.signalAll(syscall.SIGCONT) },
		},
		{
			name: "the log is down", after: 2 * time.Second, until: 5 * time.Second, refused: logLost,
			begin: func(t *testing.T, fl *fleet) { setFaults(t, fl.log, standin.Faults{Down: true}) },
			end:   func(t *testing.T, fl *fleet) { setFaults(t, fl.log, standin.Faults{}) },
		},
		{
			name: "the log loses answers", after: time.Second, refused: logLost,
			begin: func(t *testing.T, fl *fleet) { setFaults(t, fl.log, standin.Faults{LoseAnswers: 20}) },
		},
		{
			name: "an engine's connections go silent", after: 2 * time.Second,
			begin: func(t *testing.T, fl *fleet) {
				if err := standin.NewControl(fl.engines[1].address).Silence(t.Context()); err != nil {
					t.Error(err)
				}
			},
		},
		{
			name: "streams are cut off", after: time.Second,
			begin: func(t *testing.T, fl *fleet) {
				setFaults(t, fl.engines[2], standin.Faults{CutStreams: 10, CutAfter: 7, CutCleanly: true})
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fl := startFleet(t, 6)
			begin := time.AfterFunc(tt.after, func() { tt.begin(t, fl) })
			defer begin.Stop()
			if tt.end != nil {
				end := time.AfterFunc(tt.until, func() { tt.end(t, fl) })
				defer end.Stop()
			}
			duration := max(tt.until, tt.after) + 3*time.Second
			report := load.Run(t.Context(), fl.plan(duration))
			summary := report.Summary()
			t.Logf("%+v", summary)
			if summary.ChatsAnswered != summary.ChatsSent || summary.Wrong > 0 {
				t.Errorf("%d of %d chats were answered whole, %d wrongly", summary.ChatsAnswered, summary.ChatsSent, summary.Wrong)
			}
			if missing := summary.OrdersSent - summary.OrdersAnswered; missing > 0 {
				t.Errorf("%d of %d orders have no answer", missing, summary.OrdersSent)
			}
			if summary.Broken["stream"] > 0 {
				t.Errorf("%d streams to callers were cut off", summary.Broken["stream"])
			}
			for kind, count := range summary.Refused {
				if !slices.Contains(tt.refused, kind) {
					t.Errorf("%d refusals of the kind %s", count, kind)
				}
			}
			fl.checkOrders(t, report)
		})
	}
}

var (
	// logLost are the refusals while the log can't confirm orders.
	logLost = []chestnutroad.Kind{chestnutroad.LogUnavailable}
	// ownerLost are the refusals while a shard's owner can't be reached and another one takes over.
	ownerLost = []chestnutroad.Kind{
		chestnutroad.StreamBroken, chestnutroad.NoTarget, chestnutroad.OutcomeUnknown, chestnutroad.InProgress,
		chestnutroad.LogUnavailable,
	}
)

func setFaults(t *testing.T, ps *process, faults standin.Faults) {
	t.Helper()
	if err := standin.NewControl(ps.address).SetFaults(t.Context(), faults); err != nil {
		t.Error(err)
	}
}

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

// ownerOf returns the router that owns the shard of a service in a data centre.
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

// leavingLimit is the time within which a leaving target gets no new work.
const leavingLimit = 3 * time.Second

// TestLeavingEngine guards against new work for an engine that the host list says is leaving, and against cutting off
// what it runs.
func TestLeavingEngine(t *testing.T) {
	fl := startFleet(t, 3)
	started := func() int {
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
	check := time.AfterFunc(2*time.Second+leavingLimit, func() { atLimit = started() })
	defer check.Stop()
	summary := load.Run(t.Context(), fl.plan(8*time.Second)).Summary()
	if atLimit == 0 {
		t.Fatal("the engine had no work before it left")
	}
	if later := started(); later != atLimit {
		t.Errorf("%d requests started on the engine after %v", later-atLimit, leavingLimit)
	}
	if summary.ChatsAnswered != summary.ChatsSent || summary.Broken["stream"] > 0 {
		t.Errorf("%d of %d chats were answered whole, %d streams cut off", summary.ChatsAnswered, summary.ChatsSent,
			summary.Broken["stream"])
	}
}

// inForceLimit is the time within which an accepted version is in force on every host.
const inForceLimit = 10 * time.Second

// TestRacingOperators guards against two operators who both believe that their change was accepted, and against a
// version that reaches some routers late or not at all.
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
			t.Errorf("publisher %d ended with code %d: %s", index, code, outputs[index])
		}
	}
	if accepted != 1 {
		t.Errorf("%d of 4 racing publishers were told that their change was accepted: %q", accepted, outputs)
	}
	fl.awaitVersion(t, fl.routers, 2)
}

// awaitVersion requires that the version is in force on all routers within the limit.
func (fl *fleet) awaitVersion(t *testing.T, routers []*router, version chestnutroad.Version) {
	t.Helper()
	begun := time.Now()
	for _, rt := range routers {
		for {
			seen := rt.status(t).Configuration.Version
			if seen == version {
				break
			}
			if seen > version || time.Since(begun) > inForceLimit {
				t.Fatalf("%s has version %d in force after %v, want %d", rt.id, seen, time.Since(begun), version)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	t.Logf("version %d was in force on %d routers after %v", version, len(routers), time.Since(begun))
}

// TestEmptyRouterDuringLogOutage guards against a replaced router that starts without the accepted configuration, or
// with an older one, while the log is down.
func TestEmptyRouterDuringLogOutage(t *testing.T) {
	fl := startFleet(t, 3)
	fl.publish(t)
	fl.awaitVersion(t, fl.routers, 2)
	setFaults(t, fl.log, standin.Faults{Down: true})
	replaced := fl.routers[2]
	replaced.signal(syscall.SIGKILL)
	<-replaced.ended
	replaced.start(t)
	deadline := time.Now().Add(readyLimit)
	for {
		readiness, err := replaced.readiness(t)
		if err == nil && readiness.Ready {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the new router is not ready after %v: %+v, %v", readyLimit, readiness, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	fl.awaitVersion(t, fl.routers, 2)
	plan := fl.plan(2 * time.Second)
	plan.OrderPath = ""
	plan.OrderShare = 0
	plan.Entries = []string{"http://" + replaced.caller}
	if summary := load.Run(t.Context(), plan).Summary(); summary.ChatsAnswered != summary.ChatsSent {
		t.Errorf("%d of %d chats through the new router were answered whole", summary.ChatsAnswered, summary.ChatsSent)
	}
}
