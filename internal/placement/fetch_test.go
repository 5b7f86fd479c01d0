package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/kvfetch"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// fetchProfile makes a transfer of the test's shared parts take 8 ms, which an engine prefills in 120 ms.
var fetchProfile = kvfetch.Profile{TokenBytes: 20_000, LinkRate: 25e9}

const (
	systemTokens = 800
	chatTokens   = 9000
)

// fetchPool is a pool of targets to which requests with the same shared parts are sent.
type fetchPool struct {
	t *testing.T
	*placement.Pool
	now    time.Time
	number int
}

func newFetchPool(t *testing.T, off bool) *fetchPool {
	t.Helper()
	fp := &fetchPool{t: t, Pool: newPool(4, 64), now: start}
	if off {
		fp.Configure(placement.WithoutMechanisms(mechanism.Set{mechanism.KVFetch: true}))
	}
	return fp
}

// request returns the next request of a chat.
func (fp *fetchPool) request(chat string) *placement.Request {
	fp.number++
	req := newRequest(chat, fp.number)
	req.SharedParts = []chestnutroad.PromptPart{{ID: "system", Tokens: systemTokens}, {ID: chat, Tokens: chatTokens}}
	req.Fetch = fetchProfile
	return req
}

// send chooses a target for a request and records it as sent.
func (fp *fetchPool) send(req *placement.Request) placement.Choice {
	fp.t.Helper()
	choice, found := fp.Choose(fp.now, req)
	if !found {
		fp.t.Fatal("no target")
	}
	fp.StartParts(fp.now, req, &choice)
	return choice
}

// serve sends a request of the chat "chat", which is answered, and returns its target.
func (fp *fetchPool) serve() chestnutroad.TargetID {
	fp.t.Helper()
	req := fp.request("chat")
	choice := fp.send(req)
	fp.ConfirmParts(fp.now, req, &choice.Entry)
	return choice.Entry.ID
}

// fill lets requests of other hosts take all slots of the targets, so that requests pass them over.
func (fp *fetchPool) fill(ids ...chestnutroad.TargetID) {
	counts := map[chestnutroad.TargetID]int{}
	for _, id := range ids {
		counts[id] = 64
	}
	fp.SetPeerCounts(counts)
}

// keep removes all targets but two.
func (fp *fetchPool) keep(first, second chestnutroad.TargetID) {
	for _, en := range fp.Entries() {
		if en.ID != first && en.ID != second {
			fp.Remove(en.ID)
		}
	}
}

// entryOf returns a copy of a target's entry after a change.
func (fp *fetchPool) entryOf(id chestnutroad.TargetID, change func(en *chestnutroad.TargetEntry)) *chestnutroad.TargetEntry {
	en, _ := fp.Entry(id)
	change(&en)
	return &en
}

func leave(en *chestnutroad.TargetEntry) { en.Leaving = true }

func unchanged(*chestnutroad.TargetEntry) {}

// TestFetchSource guards against requests at a target that lacks their shared parts which prefill them although another target
// could send them, and against sources that can't or don't have the parts. With the mechanism off none is named.
func TestFetchSource(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// source prepares the pool and the request, and returns the source that it must name, if any.
		source func(fp *fetchPool, req *placement.Request) chestnutroad.TargetID
		reason placement.FetchReason
	}{
		{"overflow", func(fp *fetchPool, _ *placement.Request) chestnutroad.TargetID {
			sticky := fp.serve()
			fp.fill(sticky)
			return sticky
		}, placement.FetchOverflow},
		{"overflow from the target that only other hosts used", func(fp *fetchPool, _ *placement.Request) chestnutroad.TargetID {
			choice, _ := fp.Choose(fp.now, newRequest("chat", 0))
			fp.fill(choice.Entry.ID)
			return choice.Entry.ID
		}, placement.FetchOverflow},
		{"overflow on a host that started before all targets", func(fp *fetchPool, _ *placement.Request) chestnutroad.TargetID {
			for _, en := range fp.Entries() {
				fp.MarkJoined(fp.now, en.ID)
			}
			fp.now = fp.now.Add(5 * time.Second)
			choice, _ := fp.Choose(fp.now, newRequest("chat", 0))
			fp.fill(choice.Entry.ID)
			return choice.Entry.ID
		}, placement.FetchOverflow},
		{"joined target", func(fp *fetchPool, _ *placement.Request) chestnutroad.TargetID {
			choice, _ := fp.Choose(fp.now, newRequest("chat", 0))
			joined := choice.Entry
			fp.Remove(joined.ID)
			source := fp.serve()
			join(fp.Pool, fp.now, &joined)
			fp.now = fp.now.Add(afterGracePeriod)
			fp.fill(source)
			return source
		}, placement.FetchJoined},
		{"draining source", func(fp *fetchPool, _ *placement.Request) chestnutroad.TargetID {
			source := fp.serve()
			fp.Set(fp.entryOf(source, leave))
			return source
		}, placement.FetchDraining},
		{"draining source that only other hosts used", func(fp *fetchPool, _ *placement.Request) chestnutroad.TargetID {
			choice, _ := fp.Choose(fp.now, newRequest("chat", 0))
			fp.Set(fp.entryOf(choice.Entry.ID, leave))
			return choice.Entry.ID
		}, placement.FetchDraining},
		{"draining source that refuses requests", func(fp *fetchPool, _ *placement.Request) chestnutroad.TargetID {
			source := fp.serve()
			fp.RecordNotice(fp.now, fp.entryOf(source, unchanged), placement.Notice{Leaving: true, RetryAfter: time.Second})
			return source
		}, placement.FetchDraining},
		{"drained source", func(fp *fetchPool, _ *placement.Request) chestnutroad.TargetID {
			source := fp.serve()
			fp.Set(fp.entryOf(source, leave))
			fp.Remove(source)
			return ""
		}, ""},
		{"crashed source", func(fp *fetchPool, req *placement.Request) chestnutroad.TargetID {
			source := fp.serve()
			fp.MarkCrashed(fp.entryOf(source, unchanged))
			req.Excluded = []chestnutroad.TargetID{source}
			return ""
		}, ""},
		{"source that ended a connection and answered again", func(fp *fetchPool, req *placement.Request) chestnutroad.TargetID {
			source := fp.serve()
			fp.MarkCrashed(fp.entryOf(source, unchanged))
			fp.Observe(fp.now, source, placement.Served)
			req.Excluded = []chestnutroad.TargetID{source}
			return source
		}, placement.FetchRetry},
		{"restarted source", func(fp *fetchPool, _ *placement.Request) chestnutroad.TargetID {
			source := fp.serve()
			join(fp.Pool, fp.now, fp.entryOf(source, func(en *chestnutroad.TargetEntry) { en.Incarnation++ }))
			fp.now = fp.now.Add(afterGracePeriod)
			fp.fill(source)
			return ""
		}, ""},
		{"cut source", func(fp *fetchPool, _ *placement.Request) chestnutroad.TargetID {
			fp.Observe(fp.now, fp.serve(), placement.Unreachable)
			return ""
		}, ""},
		{"source that awaits a probe", func(fp *fetchPool, _ *placement.Request) chestnutroad.TargetID {
			source := fp.serve()
			fp.Observe(fp.now, source, placement.Unreachable)
			fp.now = fp.now.Add(3 * time.Second)
			fp.fill(source)
			return ""
		}, ""},
		{"source that can be reached again", func(fp *fetchPool, _ *placement.Request) chestnutroad.TargetID {
			source := fp.serve()
			fp.Observe(fp.now, source, placement.Unreachable)
			fp.Observe(fp.now, source, placement.Served)
			fp.fill(source)
			return source
		}, placement.FetchOverflow},
		{"ejected source", func(fp *fetchPool, _ *placement.Request) chestnutroad.TargetID {
			source := fp.serve()
			for range 10 {
				fp.Observe(fp.now, source, placement.Failed)
			}
			return ""
		}, ""},
		{"source that refuses requests for a time", func(fp *fetchPool, _ *placement.Request) chestnutroad.TargetID {
			fp.RecordNotice(fp.now, fp.entryOf(fp.serve(), unchanged), placement.Notice{RetryAfter: time.Second})
			return ""
		}, ""},
		{"retry after a refusal", func(fp *fetchPool, req *placement.Request) chestnutroad.TargetID {
			source := fp.serve()
			req.Excluded = []chestnutroad.TargetID{source}
			return source
		}, placement.FetchRetry},
		{"retry after a stall", func(fp *fetchPool, req *placement.Request) chestnutroad.TargetID {
			source := fp.serve()
			req.Excluded, req.Faulty = []chestnutroad.TargetID{source}, []chestnutroad.TargetID{source}
			return ""
		}, ""},
		{"second holder after a crash", func(fp *fetchPool, _ *placement.Request) chestnutroad.TargetID {
			first := fp.serve()
			fp.fill(first)
			second := fp.serve()
			fp.Observe(fp.now, first, placement.Unreachable)
			fp.fill(first, second)
			return second
		}, placement.FetchOverflow},
		{"second holder that has not answered", func(fp *fetchPool, _ *placement.Request) chestnutroad.TargetID {
			first := fp.serve()
			fp.fill(first)
			second := fp.send(fp.request("chat")).Entry.ID
			fp.Remove(first)
			// The residence follows the second target, which therefore must not count as one that other hosts use.
			join(fp.Pool, fp.now, fp.entryOf(second, unchanged))
			fp.MarkJoined(fp.now, second)
			fp.fill(second)
			return ""
		}, ""},
		{"target that has the parts", func(fp *fetchPool, _ *placement.Request) chestnutroad.TargetID {
			fp.serve()
			return ""
		}, ""},
		{"target that is about to have the parts", func(fp *fetchPool, _ *placement.Request) chestnutroad.TargetID {
			first := fp.serve()
			fp.fill(first)
			fp.keep(first, fp.send(fp.request("chat")).Entry.ID)
			return ""
		}, ""},
		{"source that was unused for longer than the part memory", func(fp *fetchPool, _ *placement.Request) chestnutroad.TargetID {
			source := fp.serve()
			fp.now = fp.now.Add(2 * placement.DefaultPartMemory)
			fp.MarkJoined(fp.now, source)
			fp.fill(source)
			return ""
		}, ""},
	}
	for _, tc := range cases {
		for _, off := range []bool{false, true} {
			t.Run(fmt.Sprint(tc.name, "/off=", off), func(t *testing.T) {
				t.Parallel()
				fp := newFetchPool(t, off)
				req := fp.request("chat")
				want, reason := tc.source(fp, req), tc.reason
				if off {
					want, reason = "", ""
				}
				choice := fp.send(req)
				if choice.Entry.ID == want {
					t.Fatalf("the request went to %s, which has its parts", want)
				}
				if got := &choice.Fetch; got.Target != want || got.Reason != reason {
					t.Errorf("a request at %s names the source %q for %q, want %q for %q", choice.Entry.ID, got.Target, got.Reason, want, reason)
				}
			})
		}
	}
}

// TestFetchEarlierPart guards against a new chat whose system prompt is prefilled again although another target has it, and against
// a fetch of tokens that the chosen target has.
func TestFetchEarlierPart(t *testing.T) {
	t.Parallel()
	fp := newFetchPool(t, false)
	source := fp.serve()
	// Another chat goes to a target without either part.
	var choice placement.Choice
	var req *placement.Request
	for index := range 100 {
		req = fp.request(fmt.Sprint("chat-", index))
		if choice, _ = fp.Choose(fp.now, req); choice.Entry.ID != source {
			break
		}
	}
	if choice.Fetch.Target != source || choice.Fetch.Tokens != systemTokens {
		t.Fatalf("a new chat fetches %d tokens from %q, want %d from %s", choice.Fetch.Tokens, choice.Fetch.Target, systemTokens, source)
	}
	fp.StartParts(fp.now, req, &choice)
	fp.ConfirmParts(fp.now, req, &choice.Entry)
	// The first chat overflows to that target, which has the system prompt now.
	fp.keep(source, choice.Entry.ID)
	fp.fill(source)
	got := fp.send(fp.request("chat"))
	if got.Entry.ID != choice.Entry.ID || got.Fetch.Target != source || got.Fetch.Tokens != chatTokens {
		t.Errorf("a request at %s fetches %d tokens from %q, want %d from %s", got.Entry.ID, got.Fetch.Tokens, got.Fetch.Target,
			chatTokens, source)
	}
}

// TestFetchKeepsChoices guards against targets that are chosen by what they hold: but for the earlier spread of popular parts, the
// choices are the same with fetches. There are more parts than holders are kept for.
func TestFetchKeepsChoices(t *testing.T) {
	t.Parallel()
	with, without := newFetchPool(t, false), newFetchPool(t, false)
	with.Configure(placement.WithoutMechanisms(mechanism.Set{mechanism.Spread: true}))
	without.Configure(placement.WithoutMechanisms(mechanism.Set{mechanism.Spread: true, mechanism.KVFetch: true}))
	rnd := rand.New(rand.NewPCG(1, 1))
	fetched := 0
	for index := range 20_000 {
		chat := fmt.Sprint("chat-", rnd.IntN(6000))
		at := start.Add(time.Duration(index) * 20 * time.Millisecond)
		with.now, without.now = at, at
		if index%10 == 0 {
			busy := entry(rnd.IntN(4), "a", 64).ID
			with.fill(busy)
			without.fill(busy)
		}
		req, same := with.request(chat), without.request(chat)
		got, want := with.send(req), without.send(same)
		if got.Entry.ID != want.Entry.ID {
			t.Fatalf("request %d goes to %s, without fetches to %s", index, got.Entry.ID, want.Entry.ID)
		}
		if got.Fetch.Target != "" {
			fetched++
		}
		with.ConfirmParts(with.now, req, &got.Entry)
	}
	if fetched == 0 {
		t.Error("no request named a source")
	}
}
