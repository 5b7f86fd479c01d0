package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// evacuationTime is the time after which an evacuation must be in force.
const evacuationTime = 2 * time.Second

// zones are the data centres of an evacuationSite.
var zones = []string{"dc-a", "dc-b", "dc-c"}

// evacuationSite is a site with a plain target and an engine in each of three data centres, and a host in each.
type evacuationSite struct {
	*site
	runners []*standin.Runner
	hosts   []*host
}

func newEvacuationSite(t *testing.T, opts ...func(*settings.Entry)) *evacuationSite {
	t.Helper()
	es := &evacuationSite{site: newSite(t)}
	es.store.Configure(3, 1, "k-1")
	for _, zone := range zones {
		for _, service := range []string{standin.DeskService, standin.ModelService} {
			rn := es.runner(service+"-"+zone, service)
			rn.Events = 2
			es.store.PutTarget(rn.ID, rn.Entry(service, zone, "ready"))
			es.runners = append(es.runners, rn)
		}
	}
	for _, zone := range zones {
		es.hosts = append(es.hosts, es.startIn(zone, opts...))
	}
	return es
}

// startIn starts a host in a data centre and waits until it is ready.
func (es *evacuationSite) startIn(zone string, opts ...func(*settings.Entry)) *host {
	es.t.Helper()
	return es.start(fmt.Sprintf("host-%s-%d", zone, len(es.seeds)), true, append(opts, func(set *settings.Entry) {
		set.DataCentre = chestnutroad.DataCentreID(zone)
	})...)
}

func (es *evacuationSite) evacuate(zones ...string) {
	for _, zone := range zones {
		es.store.PutOperatorRecord("evacuate/"+zone, "{}")
	}
}

func (es *evacuationSite) takeBack(zones ...string) {
	for _, zone := range zones {
		es.store.PutOperatorRecord("evacuate/"+zone, "")
	}
}

// runsIn returns the number of requests that reached targets of the data centres.
func (es *evacuationSite) runsIn(zones ...string) int {
	runs := 0
	for _, rn := range es.runners {
		if slices.ContainsFunc(zones, func(zone string) bool { return strings.HasSuffix(rn.ID, "-"+zone) }) {
			runs += len(rn.Runs())
		}
	}
	return runs
}

// callAll sends plain requests and streams to each host, one after the other, and returns how many had each status. More streams at
// a time than the 8 slots of an engine would be refused when two of three engines are evacuated. A refusal for another reason than
// evacuations is retried, since a machine that stands still for a second lets plain requests miss their deadline.
func callAll(ctx context.Context, hosts []*host, count int) map[int]int {
	var mu sync.Mutex
	var calls sync.WaitGroup
	statuses := map[int]int{}
	for _, ht := range hosts {
		calls.Go(func() {
			for index := range count {
				call := standin.Call{Method: http.MethodGet, Path: "/stock/x", Key: "k-1", ID: fmt.Sprintf("%s-%d-%d", ht.settings.ID, index, time.Now().UnixNano())}
				if index%2 == 1 {
					call.Method, call.Path = http.MethodPost, fmt.Sprintf("/chat/%d", index)
				}
				got := ht.call(ctx, call)
				for retry := 0; retry < 2 && got.status == http.StatusServiceUnavailable && !strings.Contains(got.body, "evacuated"); retry++ {
					got = ht.call(ctx, call)
				}
				mu.Lock()
				statuses[got.status]++
				mu.Unlock()
			}
		})
	}
	calls.Wait()
	return statuses
}

const callsPerHost = 12

// expectServed fails the test unless all requests are served and none reaches a target of the data centres.
func (es *evacuationSite) expectServed(hosts []*host, evacuated ...string) {
	es.t.Helper()
	before := es.runsIn(evacuated...)
	if got := callAll(es.t.Context(), hosts, callsPerHost); got[http.StatusOK] != callsPerHost*len(hosts) {
		es.t.Fatalf("got statuses %v with %v evacuated\n%s", got, evacuated, hosts[0].log)
	}
	if got := es.runsIn(evacuated...) - before; got > 0 {
		es.t.Fatalf("%d requests reached targets of evacuated data centres %v", got, evacuated)
	}
}

// countLines returns the number of lines that contain all texts.
func (lb *logBuffer) countLines(texts ...string) int {
	count := 0
	for line := range strings.Lines(lb.String()) {
		if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
			count++
		}
	}
	return count
}

// TestEvacuations guards against requests to targets of evacuated data centres: with two of three evacuated, from a host that starts
// meanwhile, and against evacuations that don't end when they are taken back.
func TestEvacuations(t *testing.T) {
	t.Parallel()
	es := newEvacuationSite(t)
	es.expectServed(es.hosts)
	es.evacuate("dc-a", "dc-b")
	time.Sleep(evacuationTime)
	es.expectServed(es.hosts, "dc-a", "dc-b")
	started := es.startIn("dc-a")
	es.expectServed([]*host{started}, "dc-a", "dc-b")
	es.store.SetFault(standin.Busy)
	late := es.startIn("dc-b")
	es.expectServed([]*host{late}, "dc-a", "dc-b")
	es.store.SetFault(standin.Healthy)
	es.takeBack("dc-a")
	time.Sleep(evacuationTime)
	before := es.runsIn("dc-a")
	es.expectServed(append(es.hosts, started, late), "dc-b")
	if es.runsIn("dc-a") == before {
		t.Errorf("the data centre that was taken back gets no requests\n%s", es.hosts[0].log)
	}
	for _, ht := range es.hosts {
		for message, zone := range map[string]string{"data centre evacuated": "dc-b", "data centre no longer evacuated": "dc-a"} {
			if count := ht.log.countLines(`"`+message+`"`, `"TargetCentre":"`+zone+`"`); count != 1 {
				t.Errorf("%d lines %q of %s\n%s", count, message, zone, ht.log)
			}
		}
	}
}

// TestAllEvacuated guards against requests that wait or are sent although all data centres are evacuated, and against a refusal
// without a reason or a time after which to retry.
func TestAllEvacuated(t *testing.T) {
	t.Parallel()
	es := newEvacuationSite(t)
	es.evacuate(zones...)
	time.Sleep(evacuationTime)
	before := es.runsIn(zones...)
	for _, ht := range es.hosts {
		for _, call := range []standin.Call{
			{Method: http.MethodGet, Path: "/stock/x", ID: "r-1", Key: "k-1"},
			{Method: http.MethodPost, Path: "/chat/x", ID: "r-2", Key: "k-1"},
			{Method: http.MethodPost, Path: "/order/x", ID: "r-3", Key: "k-1"},
		} {
			started := time.Now()
			got := ht.call(t.Context(), call)
			wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			if got.status != http.StatusServiceUnavailable || err != nil || wait <= 0 {
				t.Errorf("%s: got status %d, header %v", call.Path, got.status, got.header)
			}
			if !strings.Contains(got.body, "all data centres with targets of the service are evacuated") || !strings.Contains(got.body, string(chestnutroad.NoTarget)) {
				t.Errorf("%s: got body %q", call.Path, got.body)
			}
			if took := time.Since(started); took > 200*time.Millisecond {
				t.Errorf("%s: refused after %s", call.Path, took)
			}
		}
	}
	if got := es.runsIn(zones...) - before; got > 0 {
		t.Errorf("%d requests reached a target", got)
	}
	es.takeBack(zones...)
	time.Sleep(evacuationTime)
	es.expectServed(es.hosts)
}

// TestEvacuationWithoutMechanism shows that TestEvacuations fails without the mechanism: targets of evacuated data centres get
// requests.
func TestEvacuationWithoutMechanism(t *testing.T) {
	t.Parallel()
	es := newEvacuationSite(t, func(set *settings.Entry) { set.Without = mechanism.Set{mechanism.Evacuation: true} })
	es.evacuate("dc-a", "dc-b")
	time.Sleep(evacuationTime)
	callAll(t.Context(), es.hosts, callsPerHost)
	if es.runsIn("dc-a", "dc-b") == 0 {
		t.Error("targets of evacuated data centres got no requests")
	}
}

// TestInvalidEvacuations guards against records that can't be read, or that name an unknown data centre, and change something, are logged
// with each read, or hide the others; and against an unknown data centre that is forgotten until a target of it is registered.
func TestInvalidEvacuations(t *testing.T) {
	t.Parallel()
	es := newEvacuationSite(t)
	es.store.PutOperatorRecord("evacuate/", "{}")
	es.store.PutOperatorRecord("evacuate/dc-a", "null")
	es.evacuate("dc-x", "dc-b")
	time.Sleep(evacuationTime)
	es.expectServed(es.hosts, "dc-b")
	if es.runsIn("dc-a") == 0 {
		t.Error("the data centre of the record that can't be read gets no requests")
	}
	// The newest records are read again.
	es.store.Compact()
	time.Sleep(evacuationTime)
	joined := es.runner("desk-dc-x", standin.DeskService)
	es.store.PutTarget(joined.ID, joined.Entry(standin.DeskService, "dc-x", "ready"))
	es.runners = append(es.runners, joined)
	for _, ht := range es.hosts {
		ht.eventually(evacuationTime, "the data centre is known", func() bool {
			return ht.log.countLines(`"data centre evacuated"`, `"TargetCentre":"dc-x"`) == 1
		})
	}
	es.expectServed(es.hosts, "dc-b", "dc-x")
	readers := 0
	for _, ht := range es.hosts {
		if count := ht.log.countLines(`"evacuated data centre is unknown"`, "dc-x"); count != 1 {
			t.Errorf("%d lines of the unknown data centre\n%s", count, ht.log)
		}
		for _, key := range []string{"evacuate/", "evacuate/dc-a"} {
			count := ht.log.countLines(`"evacuation can't be read"`, `"Key":"`+key+`"`)
			if count > 1 {
				t.Errorf("%d lines of %s\n%s", count, key, ht.log)
			}
			readers += count
		}
	}
	if readers == 0 {
		t.Error("no host has logged the records that can't be read")
	}
}

// TestEvacuationAfterRestore guards against requests to targets of an evacuated data centre while its record is missing in a store that came
// back from an older copy, until the operator has written it again, also from a host that starts meanwhile.
func TestEvacuationAfterRestore(t *testing.T) {
	t.Parallel()
	es := newEvacuationSite(t)
	time.Sleep(copyAge)
	es.evacuate("dc-a", "dc-b")
	time.Sleep(settleTime)
	before := es.runsIn("dc-a", "dc-b")
	es.store.Restore(standin.RestorePlan{BackupAge: copyAge, Downtime: storeDowntime, RewriteTime: time.Second})
	hosts := slices.Concat(es.hosts, []*host{es.startIn("dc-a")})
	for end := time.Now().Add(2 * evacuationTime); time.Now().Before(end); {
		callAll(t.Context(), hosts, callsPerHost)
	}
	if got := es.runsIn("dc-a", "dc-b") - before; got > 0 {
		t.Errorf("%d requests reached targets of evacuated data centres\n%s", got, hosts[3].log)
	}
}
