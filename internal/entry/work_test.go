package entry

import (
	"bytes"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/admission"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/placement"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// TestEstimatedWork guards against cached parts that count as work, and against requests of unequal work while the mechanism is
// disabled.
func TestEstimatedWork(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000_000, 0)
	st := newState(&settings.Entry{CapFactor: 2})
	st.pool.Set(&chestnutroad.TargetEntry{ID: "i-1", Service: "chat", Slots: 12})
	ex := &exchange{
		rule: &chestnutroad.RoutingRule{Name: "chat"}, service: "chat", deadline: now.Add(6 * time.Second),
		callMetadata: chestnutroad.CallMetadata{Output: 100, Parts: []chestnutroad.PromptPart{{ID: "shared", Tokens: 10_000}, {ID: "own", Tokens: 1000}}},
		criteria:     placement.Request{Service: "chat", Affinity: "shared", SharedTokens: 10_000, RequireSlot: true},
	}
	st.estimateWork(now, ex)
	uncached := ex.work
	if _, found := st.choose(now, &ex.criteria); !found {
		t.Fatal("no target was chosen")
	}
	st.estimateWork(now, ex)
	if uncached < 0.4 || ex.cachedAt != "i-1" || uncached-ex.work < 0.24 || uncached-ex.work > 0.26 {
		t.Errorf("work is %.3f s, and %.3f s with the shared part cached at %q", uncached, ex.work, ex.cachedAt)
	}
	st.disabled = mechanism.Set{mechanism.Work: true}
	if work := st.admissionWork(ex); work != equalWork {
		t.Errorf("work is %.3f while the mechanism is disabled", work)
	}
}

// TestRefusalIsReported guards against a refusal by admission control whose log and metrics don't say which class was refused and what
// the request would have cost.
func TestRefusalIsReported(t *testing.T) {
	t.Parallel()
	var logged bytes.Buffer
	set := &settings.Entry{ID: "host", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"), Memory: 1 << 20, CapFactor: 2}
	en := New(set, nil, nil, nil, log.New(&logged))
	en.state.pool.Set(&chestnutroad.TargetEntry{ID: "i-1", Service: "chat", Slots: 1})
	for range 10 {
		en.state.pool.Start("i-1")
		en.state.throttle("chat").Observe(en.now(), 2, admission.Shed, 1)
	}
	ex := &exchange{
		rule: &chestnutroad.RoutingRule{Name: "chat"}, service: "chat", deadline: en.now().Add(time.Minute),
		callMetadata: chestnutroad.CallMetadata{Prompt: 11_800, Output: 100},
		criteria:     placement.Request{Service: "chat", RequireSlot: true, Rank: 2},
	}
	for number := 0; ex.throttled == nil; number++ {
		if number == 1000 {
			t.Fatal("no request was refused")
		}
		ex.criteria.ID = chestnutroad.RequestID(strconv.Itoa(number))
		en.admit(ex)
	}
	en.logExchange(ex, string(chestnutroad.Overloaded), nil)
	for _, field := range []string{"Class=\"rank 2, normal\"", "RefusedShare=0.", "WorkMs=495"} {
		if !strings.Contains(logged.String(), field) {
			t.Errorf("%s is missing in: %s", field, logged.String())
		}
	}
	var text bytes.Buffer
	en.counters.set.WritePrometheus(&text)
	for _, line := range []string{
		"chestnutroad_admission_refused_total{service=\"chat\",rank=\"2\"} 1",
		"chestnutroad_admission_refused_work_seconds_total{service=\"chat\"} 0.495",
	} {
		if !strings.Contains(text.String(), line) {
			t.Errorf("%s is missing in: %s", line, text.String())
		}
	}
}
