package quarantine_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/quarantine"
)

// restored returns the tracker of a host that starts, with the evidence that the other one has kept in the store. The clocks of the writing
// and the reading host are ahead by the given times.
func restored(t *testing.T, tr *quarantine.Tracker, written, read time.Time, writerAhead, readerAhead time.Duration) *quarantine.Tracker {
	t.Helper()
	data, err := quarantine.EncodeEvidence(written.Add(writerAhead), tr.Stored(written))
	if err != nil {
		t.Fatal(err)
	}
	other := quarantine.New()
	other.SetHostCount(16)
	items, err := quarantine.DecodeEvidence(read.Add(readerAhead), data)
	if err == nil {
		other.Restore(read, items)
	}
	return other
}

// TestCheckAfterRestore guards against a host that starts with evidence from the store and decides otherwise than the ones that had it: it would
// let targets crash anew, or refuse sound parts.
func TestCheckAfterRestore(t *testing.T) {
	t.Parallel()
	for _, tc := range checkCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := quarantine.New()
			tr.SetHostCount(16)
			play(tr, tc.steps)
			last := at(0)
			if len(tc.steps) > 0 {
				last = at(tc.steps[len(tc.steps)-1].at)
			}
			other := restored(t, tr, last, at(tc.at), 0, 0)
			if got := other.Check(at(tc.at), prompt(tc.parts...), "r-1"); got.Refuse != tc.want {
				t.Errorf("got %+v, want refused: %t", got, tc.want)
			}
		})
	}
}

// TestRestoredEvidenceExpires guards against evidence in the store that refuses callers for longer than it did before, whatever the clocks say.
func TestRestoredEvidenceExpires(t *testing.T) {
	t.Parallel()
	whole := &quarantine.Request{Fingerprint: 7}
	cases := []struct {
		name                     string
		readAt                   float64
		writerAhead, readerAhead time.Duration
		want                     bool
	}{
		{"soon", 10, 0, 0, true},
		{"before the end of the refusal", 63, 0, 0, true},
		{"after the trials", 125, 0, 0, false},
		{"an hour later", 3600, 0, 0, false},
		{"writer's clock is ahead", 10, 10 * time.Second, 0, true},
		{"writer's clock is ahead, after the trials", 140, 10 * time.Second, 0, false},
		{"writer's clock was wrong", 10, time.Hour, 0, false},
		{"reader's clock is ahead", 10, 0, 10 * time.Second, true},
		{"reader's clock is behind, after the trials", 140, 0, -10 * time.Second, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := quarantine.New()
			play(tr, deadly(0, 5, "a"))
			for index := range 5 {
				tr.Crashed(at(float64(index)), whole, targetEntry(index+1))
			}
			other := restored(t, tr, at(4), at(tc.readAt), tc.writerAhead, tc.readerAhead)
			for _, rq := range []*quarantine.Request{prompt("a"), whole} {
				if got := other.Check(at(tc.readAt), rq, "r-1"); got.Refuse != tc.want {
					t.Errorf("%+v: got %+v, want refused: %t", rq, got, tc.want)
				}
			}
			if items := other.Take(at(tc.readAt)); tc.want && len(items) == 0 {
				t.Error("other hosts are not told of the evidence at once")
			}
		})
	}
}

// TestStoredEvidenceIsBounded guards against a record that grows with each target that ends: most of what that leaves is evidence of one crash.
func TestStoredEvidenceIsBounded(t *testing.T) {
	t.Parallel()
	tr := quarantine.New()
	for part := range 400 {
		tr.Crashed(at(0), prompt(string(rune('A'+part))), targetEntry(1))
	}
	if items := tr.Stored(at(1)); len(items) != 0 {
		t.Errorf("%d items are kept of parts with one crash", len(items))
	}
	for target := range 40 {
		for part := range 400 {
			tr.Crashed(at(float64(target+2)), prompt(string(rune('A'+part))), targetEntry(target+2))
		}
	}
	items := tr.Stored(at(50))
	data, err := quarantine.EncodeEvidence(at(50), items)
	if err != nil {
		t.Fatal(err)
	}
	if len(items) == 0 || len(data) > 32<<10 {
		t.Errorf("%d items in %d bytes, want at most 32 KB", len(items), len(data))
	}
}
