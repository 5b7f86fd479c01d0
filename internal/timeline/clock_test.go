package timeline_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/timeline"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// wallClock is a settable wall clock.
type wallClock struct{ now time.Time }

func (wc *wallClock) read() time.Time { return wc.now }

// TestClockMonotone guards against stamps that repeat or decrease when the wall clock stands still or is set back.
func TestClockMonotone(t *testing.T) {
	t.Parallel()
	wc := &wallClock{now: start}
	ck := timeline.NewClock(timeline.WithWallClock(wc.read))
	last := ck.Now()
	for index := range 200_000 {
		if index == 100_000 {
			wc.now = start.Add(-time.Hour)
		}
		next := ck.Now()
		if next.Compare(last) <= 0 {
			t.Fatalf("%s is not after %s", next, last)
		}
		last = next
	}
}

// TestObserve guards against an effect with an earlier stamp than its cause, which happens if a peer's stamp is not
// observed, and against a corrupt stamp that sets the clock ahead for good.
func TestObserve(t *testing.T) {
	t.Parallel()
	at := timeline.Stamp{Physical: start.UnixMilli()}
	cases := []struct {
		Name   string
		Ahead  time.Duration
		Accept bool
		Expect timeline.Stamp
	}{
		{"Behind", -5 * time.Minute, true, at},
		{"Same", 0, true, timeline.Stamp{Physical: at.Physical, Logical: 1}},
		{"MinutesAhead", 5 * time.Minute, true, timeline.Stamp{Physical: at.Physical + 300_000, Logical: 1}},
		{"TooFarAhead", 2 * time.Hour, false, at},
	}
	for _, cs := range cases {
		t.Run(cs.Name, func(t *testing.T) {
			t.Parallel()
			ck := timeline.NewClock(timeline.WithWallClock((&wallClock{now: start}).read), timeline.WithMaxAhead(time.Hour))
			peer := timeline.Stamp{Physical: start.Add(cs.Ahead).UnixMilli()}
			if accepted := ck.Observe(peer); accepted != cs.Accept {
				t.Errorf("Observe returned %t, want %t", accepted, cs.Accept)
			}
			if got := ck.Now(); got != cs.Expect {
				t.Errorf("next stamp %s, want %s", got, cs.Expect)
			}
			if ignored := ck.Ignored() == 1; ignored == cs.Accept {
				t.Errorf("%d stamps counted as ignored", ck.Ignored())
			}
		})
	}
}

// TestPack guards against packed stamps that lose bits or sort in another order than stamps.
func TestPack(t *testing.T) {
	t.Parallel()
	a := timeline.Stamp{Physical: start.UnixMilli(), Logical: 65535}
	b := timeline.Stamp{Physical: start.UnixMilli() + 1}
	if timeline.Unpack(a.Pack()) != a || timeline.Unpack(b.Pack()) != b {
		t.Error("a stamp changed when packed and unpacked")
	}
	if a.Pack() >= b.Pack() {
		t.Error("packed stamps sort in another order than stamps")
	}
}
