package quarantine_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/quarantine"
)

// whole returns a request with a body and the shared parts.
func whole(body string, ids ...string) *quarantine.Request {
	rq := prompt(ids...)
	rq.Fingerprint = quarantine.NewFingerprint("team", "/path", []byte(body))
	return rq
}

// TestRequests guards against a request that goes on to further targets after it has crashed some, and against sound requests that
// are refused since they share a part with it, were at the same targets, or crashed none for a while.
func TestRequests(t *testing.T) {
	t.Parallel()
	type crash struct {
		at     float64
		target int
		rq     *quarantine.Request
	}
	const deadly, sound = "deadly", "sound"
	cases := []struct {
		name    string
		crashes []crash
		// servedAt is when the checked request was last served; zero stands for never.
		servedAt, at float64
		check        *quarantine.Request
		refuse       bool
	}{
		{"one crash", []crash{{1, 1, whole(deadly)}}, 0, 1.5, whole(deadly), false},
		{"two crashes", []crash{{1, 1, whole(deadly)}, {2, 2, whole(deadly)}}, 0, 2.5, whole(deadly), true},
		{"without a prompt", []crash{{1, 1, whole(deadly)}, {9, 2, whole(deadly)}}, 0, 9.5, whole(deadly), true},
		{"two at the same moment", []crash{{1, 1, whole(deadly)}, {1.05, 2, whole(deadly)}}, 0, 1.5, whole(deadly), false},
		{"served before", []crash{{1.2, 1, whole(deadly)}, {2, 2, whole(deadly)}}, 1, 2.5, whole(deadly), true},
		{"served after", []crash{{1, 1, whole(deadly)}, {2, 2, whole(deadly)}}, 2.2, 2.5, whole(deadly), false},
		{
			"another request with the same parts",
			[]crash{{1, 1, whole(deadly, "a")}, {2, 2, whole(deadly, "a")}},
			0, 2.5,
			whole(sound, "a"), false,
		},
		{
			"another request that was at one of the targets",
			[]crash{{1, 1, whole(deadly, "a")}, {1, 1, whole(sound, "a")}, {2, 2, whole(deadly, "a")}},
			0, 2.5, whole(sound, "a"), false,
		},
		{
			"the deadly one of two with one target in common",
			[]crash{{1, 1, whole(deadly, "a")}, {1, 1, whole(sound, "b")}, {2, 2, whole(deadly, "a")}},
			0, 2.5, whole(deadly, "a"), true,
		},
		{
			"a part explains the crashes",
			[]crash{{1, 1, whole("1", "a")}, {2, 2, whole("2", "a")}, {3, 3, whole("3", "a")}},
			0, 3.5,
			whole("4", "a"), true,
		},
		{"two crashes, 12 s ago", []crash{{1, 1, whole(deadly)}, {2, 2, whole(deadly)}}, 0, 14, whole(deadly), false},
		{
			"three crashes, 12 s ago",
			[]crash{{1, 1, whole(deadly)}, {2, 2, whole(deadly)}, {9, 3, whole(deadly)}},
			0, 21,
			whole(deadly), true,
		},
		{
			"three crashes, two minutes ago",
			[]crash{{1, 1, whole(deadly)}, {2, 2, whole(deadly)}, {9, 3, whole(deadly)}},
			0, 130,
			whole(deadly), false,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := quarantine.New()
			tr.SetHostCount(12)
			for _, cr := range tc.crashes {
				if tc.servedAt > 0 && tc.servedAt < cr.at {
					tr.Served(at(tc.servedAt), tc.check)
				}
				tr.Crashed(at(cr.at), cr.rq, targetEntry(cr.target))
			}
			if tc.servedAt > 0 {
				tr.Served(at(tc.servedAt), tc.check)
			}
			if got := tr.Check(at(tc.at), tc.check, "r-1"); got.Refuse != tc.refuse {
				t.Errorf("got %+v, want refused %t", got, tc.refuse)
			}
		})
	}
}

// TestRequestIsSentAgainOnce guards against a request that is handed from one crashed target to the next, and against one that is
// given up although only one target has crashed under it.
func TestRequestIsSentAgainOnce(t *testing.T) {
	t.Parallel()
	tr := quarantine.New()
	rq := whole("body", "a")
	tr.Served(at(0), prompt("a"))
	tr.Crashed(at(1), rq, targetEntry(1))
	if !tr.Repeatable(at(1), rq) {
		t.Error("a request is not sent again after one crash")
	}
	tr.Crashed(at(1.05), rq, targetEntry(2))
	if tr.Repeatable(at(1.05), rq) {
		t.Error("a request is sent again after two crashes")
	}
	tr.Served(at(2), rq)
	tr.Crashed(at(3), rq, targetEntry(3))
	if !tr.Repeatable(at(3), rq) {
		t.Error("a request is not sent again after one crash since it was served")
	}
}

// TestFingerprints guards against different requests that are taken for the same one.
func TestFingerprints(t *testing.T) {
	t.Parallel()
	cases := []struct {
		team chestnutroad.TeamID
		uri  string
		body string
	}{
		{"t", "/p", ""},
		{"t", "/p", "b"},
		{"t", "/p?q=1", "b"},
		{"t", "/pb", ""},
		{"u", "/p", "b"},
		{"", "/p", "b"},
		{"t/p", "", "b"},
	}
	seen := map[chestnutroad.SubjectHash]bool{}
	for _, tc := range cases {
		hash := quarantine.NewFingerprint(tc.team, tc.uri, []byte(tc.body))
		if seen[hash] || !hash.Whole() {
			t.Errorf("%+v has the fingerprint %x of another request, or that of a part", tc, hash)
		}
		seen[hash] = true
	}
}

// TestLearnedRequest guards against a host that starts, or returns from a network partition, and sends a request on that has crashed
// targets of other hosts.
func TestLearnedRequest(t *testing.T) {
	t.Parallel()
	seen, started := quarantine.New(), quarantine.New()
	for index := range 3 {
		seen.Crashed(at(float64(index)), whole("deadly", "a"), targetEntry(index+1))
		seen.Take(at(float64(index)))
	}
	now := at(30)
	items := seen.Take(now)
	started.Merge(now, items)
	if got := started.Check(now.Add(10*time.Second), whole("deadly", "a"), "r-1"); !got.Refuse || got.Crashes != 3 {
		t.Errorf("got %+v from %+v, want the request refused for three crashes", got, items)
	}
}

// TestSuspected guards against requests that count as sound because they are admitted as trials, or because only a part of their
// prompt is suspected.
func TestSuspected(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		rq   *quarantine.Request
		at   float64
		want bool
	}{
		{"after one crash", whole("x", "a"), 1.5, false},
		{"while refused", whole("x", "a"), 2.5, true},
		{"during trials", whole("x", "a"), 6, true},
		{"another request with the part", whole("y", "b", "a"), 2.5, true},
		{"another part", whole("y", "b"), 2.5, false},
	}
	for _, tc := range cases {
		tr := quarantine.New()
		tr.SetHostCount(130)
		tr.Crashed(at(1), whole("1", "a"), targetEntry(1))
		if tc.at > 2 {
			tr.Crashed(at(2), whole("2", "a"), targetEntry(2))
		}
		if got := tr.Suspected(at(tc.at), tc.rq); got != tc.want {
			t.Errorf("%s: suspected %t, want %t", tc.name, got, tc.want)
		}
	}
}
