package replay_test

import (
	"encoding/json"
	"testing"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/replay"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/internal/trace"
)

// site is one user with its settings.
type site struct {
	user, base, overlay string
	id                  chestnutroad.SiteID
}

var sites = []site{
	{"warta", "../../examples/warta/base.toml", "../../examples/warta/wielkopolska.toml", "wielkopolska"},
	{"kaffivakt", "../../examples/kaffivakt/base.toml", "../../examples/kaffivakt/is-sudvestur.toml", "is-sudvestur"},
}

func (st site) settings(tb testing.TB) *settings.Effective {
	tb.Helper()
	all, err := settings.Load(st.base, st.overlay)
	if err != nil {
		tb.Fatal(err)
	}
	effective, known := all.Effective(st.id)
	if !known {
		tb.Fatalf("no site %s", st.id)
	}
	return effective
}

func (st site) run(tb testing.TB, policy string, seed uint64, opts ...trace.Option) *replay.Result {
	tb.Helper()
	tr, err := trace.Generate(st.user, seed, opts...)
	if err != nil {
		tb.Fatal(err)
	}
	result, err := replay.Run(tr, st.settings(tb), policy, seed)
	if err != nil {
		tb.Fatal(err)
	}
	return result
}

func TestTrial(t *testing.T) {
	for _, st := range sites {
		for _, policy := range replay.Policies() {
			text, _ := json.MarshalIndent(st.run(t, policy, 1), "", " ")
			t.Logf("%s", text)
		}
	}
}
