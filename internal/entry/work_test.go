package entry

import (
	"testing"
	"time"

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

// TestRefusalInLog guards against a refusal whose log doesn't say which class of requests was refused.
func TestRefusalInLog(t *testing.T) {
	t.Parallel()
	decision := admission.Decision{Rank: 2, Precedence: admission.Demoted}
	if got := decision.Class(); got != "rank 2, demoted" {
		t.Errorf("class %q", got)
	}
}
