package trace_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/trace"
)

// TestGenerateDeterministicRoundTrip guards against replays that can't be compared because a trace differs between two runs
// with one seed, or after it was written and read.
func TestGenerateDeterministicRoundTrip(t *testing.T) {
	t.Parallel()
	for _, user := range trace.Users() {
		first := generate(t, user, 7)
		if !bytes.Equal(first, generate(t, user, 7)) {
			t.Errorf("%s: two traces with seed 7 differ", user)
		}
		if bytes.Equal(first, generate(t, user, 8)) {
			t.Errorf("%s: seeds 7 and 8 give the same trace", user)
		}
		read, err := trace.Read(bytes.NewReader(first))
		if err != nil {
			t.Fatalf("%s: %v", user, err)
		}
		var again bytes.Buffer
		if err := read.Write(&again); err != nil || !bytes.Equal(first, again.Bytes()) {
			t.Errorf("%s: the trace changed when read and written again, error %v", user, err)
		}
	}
}

func generate(t *testing.T, user string, seed uint64) []byte {
	t.Helper()
	tr, err := trace.Generate(user, seed)
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := tr.Write(&text); err != nil {
		t.Fatal(err)
	}
	return text.Bytes()
}

// TestSurgeLimitedToItsWindow guards against a surge that changes other traffic, because it draws from shared random numbers:
// its effect could then not be told from chance. Repeated orders extend the window by 3 seconds.
func TestSurgeLimitedToItsWindow(t *testing.T) {
	t.Parallel()
	for _, user := range trace.Users() {
		with, _ := trace.Generate(user, 3)
		without, _ := trace.Generate(user, 3, trace.WithoutSurge())
		extra := len(with.Events) - len(without.Events)
		if extra <= 0 {
			t.Fatalf("%s: the surge adds %d requests, want more than 0", user, extra)
		}
		const from, to = 310_000, 400_000
		outside := func(tr *trace.Trace) int {
			count := 0
			for _, ev := range tr.Events {
				if ev.AtMs < from || ev.AtMs > to+(3*time.Second).Milliseconds() {
					count++
				}
			}
			return count
		}
		if outside(with) != outside(without) {
			t.Errorf("%s: the surge changes the number of events outside its window", user)
		}
	}
}

const goodHeader = `{"Format":"chestnutroad-trace-1","Site":"north","ReportIntervalMs":500,` +
	`"Hosts":[{"ID":"h1","DataCentre":"a"}],"Targets":[{"ID":"e1","Service":"chat","DataCentre":"a","CacheTokens":10}]}`

const goodRequest = `{"AtMs":5,"Type":"Request","Request":{"ID":"r1","Team":"t","Service":"chat","Priority":"Chat","Host":"h1"}}`

// TestReadErrors guards against faulty lines that are read as zero values, which would show as wrong results of a replay
// instead of an error with the line number.
func TestReadErrors(t *testing.T) {
	t.Parallel()
	cases := []struct{ name, text, want string }{
		{"empty", "", "line 1: the trace is empty"},
		{"not JSON", goodHeader + "\n{", "line 2: "},
		{"unknown format", `{"Format":"x"}`, `line 1: header: Format is "x"`},
		{"unknown key", goodHeader + "\n" + `{"AtMs":1,"Typ":"LogUp"}`, `line 2: json: unknown field "Typ"`},
		{"unknown type", goodHeader + "\n" + `{"AtMs":1,"Type":"X"}`, `line 2: unknown Type "X"`},
		{"time decreases", goodHeader + "\n" + goodRequest + "\n" + `{"AtMs":4,"Type":"LogUp"}`, "line 3: AtMs is 4, before 5"},
		{"duplicate request", goodHeader + "\n" + goodRequest + "\n" + goodRequest, `line 3: request "r1" arrives twice`},
		{"unknown host", goodHeader + "\n" + strings.Replace(goodRequest, "h1", "h2", 1), `line 2: unknown entry host "h2"`},
		{"unknown service", goodHeader + "\n" + strings.Replace(goodRequest, `"chat"`, `"x"`, 1), `line 2: unknown Service "x"`},
		{"unknown priority", goodHeader + "\n" + strings.Replace(goodRequest, `"Chat"`, `"x"`, 1), `line 2: unknown Priority "x"`},
		{
			"unknown target", goodHeader + "\n" + `{"AtMs":1,"Type":"TargetFail","Target":{"ID":"e9"}}`,
			"line 2: Target is missing or unknown",
		},
		{"unknown data centre", goodHeader + "\n" + `{"AtMs":1,"Type":"Heal","DataCentre":"z"}`, `line 2: unknown data centre "z"`},
		{"two values", goodHeader + goodHeader, "line 1: header: more than one JSON value"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			_, err := trace.Read(strings.NewReader(tc.text))
			if err == nil || !strings.HasPrefix(err.Error(), tc.want) {
				t.Errorf("got error %v, want prefix %q", err, tc.want)
			}
		})
	}
}
