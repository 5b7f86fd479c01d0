package timeline_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/timeline"
)

// process simulates one host: its skewed clock and the events that it recorded.
type process struct {
	id     chestnutroad.HostID
	wall   *wallClock
	clock  *timeline.Clock
	events []timeline.Event
}

// newProcess returns a process whose wall clock is ahead by skew.
func newProcess(id string, skew time.Duration) *process {
	wc := &wallClock{now: start.Add(skew)}
	return &process{id: chestnutroad.HostID(id), wall: wc, clock: timeline.NewClock(timeline.WithWallClock(wc.read))}
}

// record advances the wall clock by a millisecond and records an event.
func (pr *process) record(cause timeline.Reference) timeline.Event {
	pr.wall.now = pr.wall.now.Add(time.Millisecond)
	event := timeline.Event{
		Time: pr.clock.Now(), Host: pr.id, Incarnation: 1, Sequence: uint64(len(pr.events) + 1), Type: timeline.Placed, Cause: cause,
	}
	pr.events = append(pr.events, event)
	return event
}

// history simulates processes with skewed clocks that send messages at random. It returns the events in their real order and
// the pairs of cause and effect. With stamps, receivers observe the sender's stamp; with causes, events state their cause.
func history(rt *rapid.T, stamps, causes bool) (events []timeline.Event, pairs [][2]timeline.Reference) {
	count := rapid.IntRange(2, 5).Draw(rt, "processes")
	processes := make([]*process, 0, count)
	for index := range count {
		skew := time.Duration(rapid.IntRange(-20, 20).Draw(rt, "skew")) * time.Minute
		processes = append(processes, newProcess(fmt.Sprintf("h%d", index), skew))
	}
	pick := rapid.IntRange(0, len(processes)-1)
	for range rapid.IntRange(1, 40).Draw(rt, "messages") {
		from, to := processes[pick.Draw(rt, "from")], processes[pick.Draw(rt, "to")]
		sent := from.record(timeline.Reference{})
		if stamps {
			to.clock.Observe(sent.Time)
		}
		cause := timeline.Reference{}
		if causes {
			cause = sent.Reference()
		}
		received := to.record(cause)
		events = append(events, sent, received)
		pairs = append(pairs, [2]timeline.Reference{sent.Reference(), received.Reference()})
	}
	return events, pairs
}

// positions maps each event to its index.
func positions(events []timeline.Event) map[timeline.Reference]int {
	at := map[timeline.Reference]int{}
	for index, event := range events {
		at[event.Reference()] = index
	}
	return at
}

// countInverted counts the effects that precede their cause.
func countInverted(events []timeline.Event, pairs [][2]timeline.Reference) int {
	at := positions(events)
	count := 0
	for _, pair := range pairs {
		if at[pair[0]] > at[pair[1]] {
			count++
		}
	}
	return count
}

// TestMergeOrder guards against a merge that puts an effect before its cause while clocks differ by up to 40 minutes. Stamps
// and causes must each be enough on their own.
func TestMergeOrder(t *testing.T) {
	t.Parallel()
	cases := []struct {
		Name           string
		Stamps, Causes bool
	}{
		{"Stamps", true, false},
		{"Causes", false, true},
		{"Both", true, true},
	}
	for _, cs := range cases {
		t.Run(cs.Name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				events, pairs := history(rt, cs.Stamps, cs.Causes)
				shuffled := rapid.Permutation(events).Draw(rt, "files")
				merged, notices := timeline.Merge(shuffled)
				if len(notices) != 0 || len(merged) != len(events) {
					rt.Fatalf("merged %d of %d events, notices %v", len(merged), len(events), notices)
				}
				if count := countInverted(merged, pairs); count != 0 {
					rt.Fatalf("%d effects precede their cause", count)
				}
				again, _ := timeline.Merge(events)
				if !slices.Equal(again, merged) {
					rt.Fatal("the merged order depends on the input order")
				}
			})
		})
	}
}

// TestMergeBaseline guards against clocks so close that TestMergeOrder would prove nothing: ordered by wall clock alone, the
// effect must precede its cause.
func TestMergeBaseline(t *testing.T) {
	t.Parallel()
	from, to := newProcess("a", 3*time.Minute), newProcess("b", -3*time.Minute)
	sent := from.record(timeline.Reference{})
	received := to.record(timeline.Reference{})
	merged, _ := timeline.Merge([]timeline.Event{sent, received})
	if merged[0].Host != "b" {
		t.Error("ordered by wall clock alone, the cause still precedes its effect")
	}
}

// TestMergeDamaged guards against a merge that loses events or never ends when causes form a cycle, are missing, or events
// are duplicated or missing.
func TestMergeDamaged(t *testing.T) {
	t.Parallel()
	at := func(host string, sequence uint64, cause timeline.Reference) timeline.Event {
		return timeline.Event{Host: chestnutroad.HostID(host), Incarnation: 1, Sequence: sequence, Cause: cause}
	}
	ref := func(host string, sequence uint64) timeline.Reference {
		return timeline.Reference{Host: chestnutroad.HostID(host), Incarnation: 1, Sequence: sequence}
	}
	cases := []struct {
		Name   string
		Events []timeline.Event
		Want   string
		Notice string
	}{
		{"Cycle", []timeline.Event{at("a", 1, ref("b", 1)), at("b", 1, ref("a", 1))}, "a/1/1 b/1/1", "cyclic causes"},
		{"OwnCause", []timeline.Event{at("a", 1, ref("a", 1))}, "a/1/1", ""},
		{"LaterOwnCause", []timeline.Event{at("a", 1, ref("a", 2)), at("a", 2, timeline.Reference{})}, "a/1/1 a/1/2", "cyclic causes"},
		{"UnknownCause", []timeline.Event{at("a", 1, ref("c", 9))}, "a/1/1", ""},
		{"SameFileTwice", []timeline.Event{at("a", 1, ref("", 0)), at("a", 1, ref("", 0))}, "a/1/1", ""},
		{"Gap", []timeline.Event{at("a", 2, ref("", 0)), at("a", 5, ref("", 0))}, "a/1/2 a/1/5", "events missing: 3"},
	}
	for _, cs := range cases {
		t.Run(cs.Name, func(t *testing.T) {
			t.Parallel()
			merged, notices := timeline.Merge(cs.Events)
			names := make([]string, 0, len(merged))
			for _, event := range merged {
				names = append(names, event.Reference().String())
			}
			if got := strings.Join(names, " "); got != cs.Want {
				t.Errorf("merged %s, want %s", got, cs.Want)
			}
			if (cs.Notice == "") != (len(notices) == 0) {
				t.Errorf("notices %v, want %q", notices, cs.Notice)
			}
		})
	}
}
