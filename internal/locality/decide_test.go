package locality

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutroad/chestnutroad"
)

func side(requests, room int) Side { return Side{Targets: room / 10, Requests: requests, Room: room} }

// observed returns a balancer that has seen counts for a while, and the time of the last ones.
func observed(counts Counts) (*Balancer, time.Time) {
	bl := New()
	now := simTime(0)
	for range 40 {
		now = now.Add(150 * time.Millisecond)
		bl.Observe(now, counts)
	}
	return bl, now
}

// rare is a part of 10,512 tokens that takes 128 ms to prefill and 8 ms to fetch.
func rare(rate chestnutroad.RequestRate, fetch time.Duration) *Part {
	return &Part{Draw: 0.9, Remote: true, Rate: rate, Prefill: 128 * time.Millisecond, FetchLocal: fetch}
}

// TestDecide guards against a request that stays, or leaves, against the rule.
func TestDecide(t *testing.T) {
	t.Parallel()
	const fetch = 8 * time.Millisecond
	for _, test := range []struct {
		name          string
		local, remote Side
		age           time.Duration
		req           Request
		want          Reason
	}{
		{name: "room", local: side(50, 100), remote: side(0, 200), req: Request{Draw: 0.01}},
		{name: "as full as the others", local: side(90, 100), remote: side(180, 200), req: Request{Draw: 0.01}},
		{name: "overloaded", local: side(120, 100), remote: side(50, 200), req: Request{Draw: 0.01}, want: Load},
		{name: "overloaded, remote full", local: side(120, 100), remote: side(240, 200), req: Request{Draw: 0.01}},
		{name: "overloaded, remote unknown", local: side(120, 100), remote: side(50, 200), age: 3 * time.Second, req: Request{Draw: 0.01}},
		{name: "remote cut off", local: side(120, 100), req: Request{Draw: 0.01}},
		{name: "local evacuated", remote: side(190, 200), age: 3 * time.Second, req: Request{Draw: 0.99, LocalTargets: -1}, want: NoTarget},
		{name: "no target at all", local: side(50, 100), req: Request{LocalTargets: -1, RemoteTargets: -1}},
		{name: "local targets full", local: side(60, 100), remote: side(20, 200), req: Request{Draw: 0.99, LocalFull: true}, want: Full},
		{name: "all targets full", local: side(60, 100), remote: side(195, 200), req: Request{Draw: 0.01, LocalFull: true}},
		{name: "rare part", local: side(50, 100), remote: side(20, 200), req: Request{Draw: 0.9, Part: rare(0.5, 0)}, want: Cached},
		{name: "part worth a prefill", local: side(50, 100), remote: side(20, 200), req: Request{Draw: 0.9, Part: rare(1, 0)}},
		{name: "part worth a fetch", local: side(50, 100), remote: side(20, 200), req: Request{Draw: 0.9, Part: rare(0.1, fetch)}},
		{name: "part too rare for a fetch", local: side(50, 100), remote: side(20, 200), req: Request{Draw: 0.9, Part: rare(0.02, fetch)}, want: Cached},
		{name: "rare part, remote full", local: side(50, 100), remote: side(200, 200), req: Request{Draw: 0.9, Part: rare(0.01, 0)}},
		{name: "rare part, remote unknown", local: side(50, 100), remote: side(20, 200), age: 3 * time.Second, req: Request{Draw: 0.9, Part: rare(0.01, 0)}},
	} {
		bl, now := observed(Counts{
			Local: test.local, Remote: test.remote, RemoteAge: test.age, RoundTrip: 2800 * time.Microsecond, Duration: time.Second,
		})
		req := test.req
		req.LocalTargets, req.RemoteTargets = req.LocalTargets+1, req.RemoteTargets+1
		if got := bl.Decide(now, &req); got.Reason != test.want || got.Leave != (test.want != "") {
			t.Errorf("%s: %+v, want %q", test.name, got, test.want)
		}
	}
}

// TestRemoteAge guards against a share that is kept while the counts of the remote side are no longer received.
func TestRemoteAge(t *testing.T) {
	t.Parallel()
	bl, now := observed(Counts{Local: side(95, 100), Remote: side(50, 200), RemoteAge: 300 * time.Millisecond, Duration: time.Second})
	previous := bl.Share(now)
	if previous == 0 {
		t.Fatal("no share although the local targets are overloaded")
	}
	for _, age := range []time.Duration{time.Second, 1500 * time.Millisecond, 1700 * time.Millisecond} {
		share := bl.Share(now.Add(age))
		if share >= previous {
			t.Errorf("share %v after %v, %v before", share, age, previous)
		}
		previous = share
	}
	if previous != 0 {
		t.Errorf("share %v at the maximum age", previous)
	}
}

// TestTargetLoss guards against a share that grows slowly when local targets end.
func TestTargetLoss(t *testing.T) {
	t.Parallel()
	counts := Counts{Local: side(60, 100), Remote: side(50, 200), RemoteAge: 300 * time.Millisecond, Duration: time.Second}
	bl, now := observed(counts)
	counts.Local = side(30, 50)
	rep := bl.Observe(now.Add(150*time.Millisecond), counts)
	if want := needed(0.6, 0.5); float64(rep.Share) < want-0.05 || !rep.Notable {
		t.Errorf("%+v, want a share of %.2f", rep, want)
	}
}

// TestCheapFirst guards against requests that have their part prefilled again while others could leave, and against a share that differs
// from the stated one.
func TestCheapFirst(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 1))
	for _, share := range []Share{0.2, 0.5, 0.8} {
		bl, now := observed(Counts{Local: side(50, 100), Remote: side(50, 200), Duration: time.Second})
		bl.share = share
		var left, costly, costlyLeft float64
		const count = 20000
		for range count {
			req := &Request{Draw: rng.Float64(), LocalTargets: 1, RemoteTargets: 1}
			if rng.Float64() < 0.5 {
				req.Part = &Part{Draw: rng.Float64(), Local: true, Prefill: 100 * time.Millisecond}
				costly++
			}
			if bl.Decide(now, req).Leave {
				left++
				if req.Part != nil {
					costlyLeft++
				}
			}
		}
		if math.Abs(left/count-float64(share)) > 0.03 {
			t.Errorf("%.3f left at share %v", left/count, share)
		}
		if want := max(0, 2*float64(share)-1); math.Abs(costlyLeft/costly-want) > 0.08 {
			t.Errorf("%.3f of the costly ones left at share %v, want %.2f", costlyLeft/costly, share, want)
		}
	}
}

// TestPartCost guards against a rule that costs more than to copy all parts to each data centre, or to copy none.
func TestPartCost(t *testing.T) {
	t.Parallel()
	const centres, parts, roundTrip, prefill = 3, 300, 0.0028, 0.128
	rng := rand.New(rand.NewPCG(2, 1))
	bl, now := observed(Counts{
		Local: side(50, 100), Remote: side(100, 200), RoundTrip: 2800 * time.Microsecond, Duration: time.Second,
	})
	// The costs of copying all parts, none, and by the rule.
	var all, none, rule float64
	for part := range parts {
		// From one use in 20 s to ten a second in each data centre, known to a factor of two.
		rate := 0.05 * math.Pow(200, float64(part)/parts)
		estimate := rate * math.Pow(2, 2*rng.Float64()-1)
		uses := rate * 60
		all += centres * prefill
		none += prefill + (centres-1)*uses*roundTrip
		rule += prefill
		for range centres - 1 {
			req := &Request{Draw: 0.99, LocalTargets: 1, RemoteTargets: 1, Part: &Part{
				Draw: 0.99, Remote: true, Rate: chestnutroad.RequestRate(estimate), Prefill: 128 * time.Millisecond,
			}}
			if bl.Decide(now, req).Leave {
				rule += uses * roundTrip
			} else {
				rule += prefill
			}
		}
	}
	t.Logf("seconds a minute: copies of all %.1f, of none %.1f, by the rule %.1f", all, none, rule)
	if rule > 0.8*min(all, none) {
		t.Errorf("the rule costs %.1f s, copies of all %.1f s, of none %.1f s", rule, all, none)
	}
}

// TestMalformed guards against inputs that lead to a share or a load ratio out of range.
func TestMalformed(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		bl := New(WithBytePrice(time.Duration(rapid.Int64().Draw(t, "price"))))
		now := simTime(0)
		duration := func(name string) time.Duration { return time.Duration(rapid.Int64().Draw(t, name)) }
		numbers := rapid.IntRange(-10, math.MaxInt32)
		anySide := func(name string) Side {
			return Side{Targets: numbers.Draw(t, name), Requests: numbers.Draw(t, name), Room: numbers.Draw(t, name)}
		}
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Minute)).Draw(t, "elapsed")))
			rep := bl.Observe(now, Counts{
				Local: anySide("local"), Remote: anySide("remote"), RemoteAge: duration("age"), RoundTrip: duration("trip"),
				Duration: duration("duration"),
			})
			if !(rep.Share >= 0 && rep.Share <= 1 && rep.Weight >= 0 && rep.Weight <= 1) || math.IsNaN(float64(rep.Limit)) {
				t.Fatalf("%+v", rep)
			}
			req := &Request{
				Draw: rapid.Float64().Draw(t, "draw"), LocalTargets: 1, RemoteTargets: numbers.Draw(t, "targets"),
				Traffic: chestnutroad.Bytes(rapid.Int64().Draw(t, "bytes")),
				Part: &Part{
					Draw: math.NaN(), Remote: rapid.Bool().Draw(t, "cached"), Rate: chestnutroad.RequestRate(rapid.Float64().Draw(t, "rate")),
					Prefill: duration("prefill"), FetchLocal: duration("fetch"),
				},
			}
			if got := bl.Decide(now, req); got.Leave != (got.Reason != "") || got.Leave && req.RemoteTargets <= 0 {
				t.Fatalf("%+v", got)
			}
			if math.IsNaN(bl.costs.mean) || math.IsInf(bl.costs.mean, 0) {
				t.Fatalf("mean cost %v", bl.costs.mean)
			}
		}
	})
}

// TestMode guards against requests that are divided where the setting, or the installation, doesn't ask for it.
func TestMode(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		mode           Mode
		fetching, want bool
	}{
		{mode: "", fetching: true},
		{mode: Auto, want: false},
		{mode: Auto, fetching: true, want: true},
		{mode: On, want: true},
		{mode: Off, fetching: true},
		{mode: "on", fetching: true},
	} {
		if got := test.mode.Enabled(test.fetching); got != test.want {
			t.Errorf("%q with fetching %v: %v", test.mode, test.fetching, got)
		}
	}
	if Mode("on").Valid() || !Mode("").Valid() {
		t.Error("unknown modes are invalid, the empty one is valid")
	}
}
