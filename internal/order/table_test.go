package order

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// TestTable guards against a wrong holder of a key in the state that all hosts derive from the log.
//
// A step is a host, "+" for a claim, "-" for a release, "!" for an outcome or "?" for an unknown one, the number of the claim,
// and optionally a suffix of the key. A number alone is a pause in minutes.
func TestTable(t *testing.T) {
	t.Parallel()
	tests := []struct{ name, steps, holder string }{
		{"first claim wins", "a+1 b+1", "a1"},
		{"claim after a release", "a+1 a-1 b+1", "b1"},
		{"lost claim is never promoted", "a+1 b+1 a-1", ""},
		{"duplicate of a lost claim", "a+1 b+1 a-1 b+1", ""},
		{"duplicate of a released claim", "a+1 a-1 a+1", ""},
		{"release before its claim", "a-1 a+1", ""},
		{"release before an earlier claim", "a-2 a+1", ""},
		{"release of a later claim", "a+1 a-2", ""},
		{"release of an earlier claim", "a+2 a-1", "a2"},
		{"release by another host", "a+1 b-1", "a1"},
		{"release after the outcome", "a+1 a!1 a-1 b+1", "a1!"},
		{"release after an unknown outcome", "a+1 a?1 a-1 b+1", "a1?"},
		{"answer after unknown outcome", "a+1 a?1 a!1", "a1!"},
		{"unknown outcome after answer", "a+1 a!1 a?1", "a1!"},
		{"outcome of a lost claim", "a+1 b+1 b!1", "a1"},
		{"new claim of a host after its release", "a+1 a-1 a+2", "a2"},
		{"expired claim", "a+1 a!1 10 b+1", "b1"},
		{"expired claim between two sweeps", "b+1other 1 a+1 9 b+1other 2 b+1other", ""},
		{"claim just before it expires", "a+1 a!1 9 b+1", "a1!"},
		{"delayed outcome of an expired claim", "a+1 10 b+1 a!1", "b1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tb := applySteps(tt.steps)
			payload := tb.Payload()
			copied := newTable()
			if err := copied.Load(payload); err != nil {
				t.Fatal(err)
			}
			if got := holder(tb); got != tt.holder || holder(copied) != got {
				t.Errorf("holder: got %q, after loading a snapshot %q, want %q", got, holder(copied), tt.holder)
			}
			if tt.name == "expired claim between two sweeps" && strings.Contains(string(payload), `"Key":"key"`) {
				t.Error("the snapshot contains an expired claim that was not yet swept")
			}
		})
	}
}

func applySteps(steps string) *table {
	tb := newTable()
	now := time.Unix(1_800_000_000, 0)
	types := map[byte]record.EntryType{'+': record.EntryClaim, '-': record.EntryRelease, '!': record.EntryOutcome, '?': record.EntryOutcome}
	for step := range strings.FieldsSeq(steps) {
		if minutes, err := strconv.Atoi(step); err == nil {
			now = now.Add(time.Duration(minutes) * time.Minute)
			continue
		}
		entry := record.Entry{Type: types[step[1]], Key: chestnutroad.IdempotencyKey("key" + step[3:]), KeepMs: (10 * time.Minute).Milliseconds()}
		entry.Claimant = record.Claimant{Host: chestnutroad.HostID(step[:1]), Sequence: uint64(step[2] - '0')}
		if entry.Type == record.EntryOutcome {
			entry.Outcome = &Outcome{Unknown: step[1] == '?'}
		}
		tb.Apply(chestnutroad.Record{Appended: now, Data: record.EncodeOrders([]record.Entry{entry})})
	}
	return tb
}

func holder(tb *table) string {
	en := tb.live(Key{Key: "key"})
	if en == nil || !en.claimed() {
		return ""
	}
	text := string(en.claimant.Host) + strconv.FormatUint(en.claimant.Sequence, 10)
	switch {
	case en.answered():
		text += "!"
	case en.outcome != nil:
		text += "?"
	}
	return text
}
