package kvfetch_test

import (
	"math"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/kvfetch"
)

var start = time.Unix(1_000_000, 0)

// profile makes a transfer of 10,000 tokens take 8 ms, which an engine prefills in 122 ms.
var profile = kvfetch.NewProfile(kvfetch.Auto, &chestnutroad.EngineSpec{KVBytes: 20_000, LinkMbps: 200_000, Replicas: true})

// TestChoose guards against fetches that take longer than a prefill, against a source with a long queue or in another data centre
// that is named although a better one is known, and against sizes that overflow.
func TestChoose(t *testing.T) {
	t.Parallel()
	source := func(id string, local bool, tie uint64) kvfetch.Source {
		return kvfetch.Source{Target: chestnutroad.TargetID(id), Local: local, Tie: tie}
	}
	a, b, remote := source("a", true, 1), source("b", true, 2), source("remote", false, 0)
	slow := kvfetch.Profile{TokenBytes: profile.TokenBytes, LinkRate: profile.LinkRate / 100}
	cases := []struct {
		name    string
		profile kvfetch.Profile
		tokens  chestnutroad.Tokens
		sources []kvfetch.Source
		// queued is the number of transfers of 10,000 tokens that are queued at each source.
		queued map[string]int
		// age is the time since then.
		age  time.Duration
		want chestnutroad.TargetID
	}{
		{name: "no source", profile: profile, tokens: 10_000},
		{name: "disabled", tokens: 10_000, sources: []kvfetch.Source{a}},
		{name: "nothing to fetch", profile: profile, sources: []kvfetch.Source{a}},
		{name: "negative", profile: profile, tokens: -5, sources: []kvfetch.Source{a}},
		{name: "idle", profile: profile, tokens: 10_000, sources: []kvfetch.Source{a}, want: "a"},
		{name: "prefilled sooner than requested", profile: profile, tokens: 150, sources: []kvfetch.Source{a}},
		{name: "slow link", profile: slow, tokens: 10_000, sources: []kvfetch.Source{a}},
		{name: "shortest queue", profile: profile, tokens: 10_000, sources: []kvfetch.Source{a, b}, queued: map[string]int{"a": 2, "b": 1}, want: "b"},
		{name: "equal queues", profile: profile, tokens: 10_000, sources: []kvfetch.Source{b, a}, want: "a"},
		{name: "own data centre", profile: profile, tokens: 10_000, sources: []kvfetch.Source{remote, a}, queued: map[string]int{"a": 5}, want: "a"},
		{
			name: "own data centre is busy for longer than a prefill", profile: profile, tokens: 10_000,
			sources: []kvfetch.Source{a, remote}, queued: map[string]int{"a": 20}, want: "remote",
		},
		{name: "all are busy", profile: profile, tokens: 10_000, sources: []kvfetch.Source{a}, queued: map[string]int{"a": 20}},
		{
			name: "queue is done", profile: profile, tokens: 10_000, sources: []kvfetch.Source{a}, queued: map[string]int{"a": 20},
			age: 120 * time.Millisecond, want: "a",
		},
		{name: "largest size", profile: profile, tokens: math.MaxInt64, sources: []kvfetch.Source{a}},
		{name: "large size", profile: profile, tokens: 100_000_000, sources: []kvfetch.Source{a}, want: "a"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := kvfetch.NewTransfers()
			for _, src := range tc.sources {
				for range tc.queued[string(src.Target)] {
					tr.Start(start, &kvfetch.Decision{Source: src, Transfer: 8 * time.Millisecond})
				}
			}
			got, found := tr.Choose(start.Add(tc.age), tc.profile, tc.tokens, tc.sources)
			if found != (tc.want != "") || got.Source.Target != tc.want {
				t.Errorf("got %+v, found %t, want %q", got, found, tc.want)
			}
			if found && (got.Bytes <= 0 || got.Transfer <= 0 || got.Wait < 0) {
				t.Errorf("got an invalid estimate: %+v", got)
			}
		})
	}
}

// TestRestartedSource guards against the queue of an ended incarnation that counts for the next one.
func TestRestartedSource(t *testing.T) {
	t.Parallel()
	tr := kvfetch.NewTransfers()
	before, after := kvfetch.Source{Target: "a", Incarnation: 1}, kvfetch.Source{Target: "a", Incarnation: 2}
	tr.Start(start, &kvfetch.Decision{Source: before, Transfer: time.Second})
	if _, found := tr.Choose(start, profile, 10_000, []kvfetch.Source{before}); found {
		t.Error("a busy source is named")
	}
	if got, _ := tr.Choose(start, profile, 10_000, []kvfetch.Source{after}); got.Source != after {
		t.Errorf("got %+v", got)
	}
}

// TestNewProfile guards against fetches where the configuration or the settings don't enable them.
func TestNewProfile(t *testing.T) {
	t.Parallel()
	const small, large = 24 << 10, 24<<10 + 1
	cases := []struct {
		mode    kvfetch.Mode
		spec    *chestnutroad.EngineSpec
		enabled bool
	}{
		{kvfetch.Auto, nil, false},
		{kvfetch.Auto, &chestnutroad.EngineSpec{}, false},
		{kvfetch.Auto, &chestnutroad.EngineSpec{KVBytes: small, LinkMbps: 1000, Replicas: true}, true},
		{"", &chestnutroad.EngineSpec{KVBytes: small, LinkMbps: 1000, Replicas: true}, true},
		{kvfetch.Auto, &chestnutroad.EngineSpec{KVBytes: large, LinkMbps: 1000, Replicas: true}, false},
		{kvfetch.Auto, &chestnutroad.EngineSpec{KVBytes: small, LinkMbps: 1000}, false},
		{kvfetch.Auto, &chestnutroad.EngineSpec{KVBytes: small, Replicas: true}, false},
		{kvfetch.On, &chestnutroad.EngineSpec{KVBytes: large, LinkMbps: 1000}, true},
		{kvfetch.On, &chestnutroad.EngineSpec{KVBytes: large}, false},
		{kvfetch.On, &chestnutroad.EngineSpec{LinkMbps: 1000, Replicas: true}, false},
		{kvfetch.Off, &chestnutroad.EngineSpec{KVBytes: small, LinkMbps: 1000, Replicas: true}, false},
	}
	for _, tc := range cases {
		if pf := kvfetch.NewProfile(tc.mode, tc.spec); pf.Enabled() != tc.enabled {
			t.Errorf("%s, %+v: enabled %t, want %t", tc.mode, tc.spec, pf.Enabled(), tc.enabled)
		}
	}
}
