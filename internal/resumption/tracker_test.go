package resumption_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/resumption"
)

const service chestnutroad.ServiceID = "model"

func start(stream resumption.StreamID, version chestnutroad.SoftwareVersion) resumption.Start {
	return resumption.Start{Service: service, Version: version, Stream: stream}
}

// TestDecide guards against a stream that is resumed at a version of which the host can't be sure, and against one that is refused
// although the service has one version.
func TestDecide(t *testing.T) {
	t.Parallel()
	const later = 2 * resumption.Lifetime
	known := func(version chestnutroad.SoftwareVersion) resumption.Decision {
		return resumption.Decision{Basis: resumption.Known, Version: version}
	}
	only := resumption.Decision{Basis: resumption.OnlyVersion, Version: "v1"}
	needsStarts := resumption.Decision{Basis: resumption.NeedsStarts}
	cases := []struct {
		name string
		now  time.Duration
		// unread is true if the list of targets could not be read after the request.
		unread  bool
		prepare func(tr *resumption.Tracker)
		want    resumption.Decision
	}{
		{"began here", later, false, func(tr *resumption.Tracker) {
			tr.Begin(later-time.Second, start(1, "v1"))
			tr.Observe(later, service, "v2")
		}, known("v1")},
		{"began here, list not read", later, true, func(tr *resumption.Tracker) {
			tr.Begin(later-time.Second, start(1, "v1"))
		}, known("v1")},
		{"learned", later, false, func(tr *resumption.Tracker) {
			tr.Observe(later, service, "v1")
			tr.Learn(later, start(1, "v2"))
		}, known("v2")},
		{"began in another service", later, false, func(tr *resumption.Tracker) {
			tr.Observe(later, service, "v1")
			tr.Learn(later, resumption.Start{Service: "other", Version: "v2", Stream: 1})
		}, only},
		{"one version", later, false, func(tr *resumption.Tracker) { tr.Observe(later, service, "v1") }, only},
		{"one version, list not read", later, true, func(tr *resumption.Tracker) {
			tr.Observe(later, service, "v1")
		}, needsStarts},
		{"two versions", later, false, func(tr *resumption.Tracker) {
			tr.Observe(later, service, "v1")
			tr.Observe(later, service, "v2")
		}, needsStarts},
		{"former version gone a moment ago", later, false, func(tr *resumption.Tracker) {
			tr.Observe(later-resumption.Lifetime+time.Second, service, "v0")
			tr.Observe(later, service, "v1")
		}, needsStarts},
		{"former version gone for long", later, false, func(tr *resumption.Tracker) {
			tr.Observe(later-resumption.Lifetime, service, "v0")
			tr.Observe(later, service, "v1")
		}, only},
		{"no target", later, false, func(*resumption.Tracker) {}, needsStarts},
		{"started a moment ago", time.Second, false, func(tr *resumption.Tracker) {
			tr.Observe(time.Second, service, "v1")
		}, resumption.Decision{Basis: resumption.NeedsVersions}},
		{"started a moment ago, same version before", time.Second, false, func(tr *resumption.Tracker) {
			tr.Observe(time.Second, service, "v1")
			tr.Inherit(service, "v1")
			tr.CompleteInherited()
		}, only},
		{"started a moment ago, other version before", time.Second, false, func(tr *resumption.Tracker) {
			tr.Observe(time.Second, service, "v1")
			tr.Inherit(service, "v0")
			tr.CompleteInherited()
		}, needsStarts},
		{"other version before a start long ago", later, false, func(tr *resumption.Tracker) {
			tr.Observe(later, service, "v1")
			tr.Inherit(service, "v0")
			tr.CompleteInherited()
		}, only},
		{"too old a stream", later, false, func(tr *resumption.Tracker) {
			tr.Begin(time.Second, start(1, "v0"))
			tr.Begin(later, start(2, "v1"))
		}, only},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := resumption.New()
			tc.prepare(tr)
			var versions []chestnutroad.SoftwareVersion
			if !tc.unread && tr.KnowsVersions(tc.now) {
				versions = slices.Collect(maps.Keys(tr.Recent(tc.now, service)))
			}
			if got := tr.Decide(tc.now, service, 1, versions); got != tc.want {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}

// TestUnwrittenStarts guards against calls of the store while a service has one version, and against streams that began before the
// second version appeared and are never written.
func TestUnwrittenStarts(t *testing.T) {
	t.Parallel()
	tr := resumption.New()
	tr.Begin(time.Second, start(1, "v1"))
	tr.Begin(resumption.Lifetime, start(2, "v1"))
	if got := tr.TakeUnwritten(resumption.Lifetime + 2*time.Second); len(got) != 0 {
		t.Errorf("got %v with one version", got)
	}
	tr.Observe(resumption.Lifetime+2*time.Second, service, "v2")
	got := tr.TakeUnwritten(resumption.Lifetime + 2*time.Second)
	if len(got) != 1 || got[0] != start(2, "v1") {
		t.Errorf("got %v, want the stream that is not too old", got)
	}
	tr.ReturnUnwritten(got)
	if again := tr.TakeUnwritten(resumption.Lifetime + 3*time.Second); len(again) != 1 {
		t.Errorf("got %v after a failed write", again)
	}
	if again := tr.TakeUnwritten(resumption.Lifetime + 3*time.Second); len(again) != 0 {
		t.Errorf("got %v after a write", again)
	}
}

// TestStreamsExpire guards against memory that grows with the number of streams.
func TestStreamsExpire(t *testing.T) {
	t.Parallel()
	tr := resumption.New()
	const count = 50_000
	for stream := range resumption.StreamID(count) {
		now := time.Duration(stream) * time.Millisecond
		tr.Begin(now, start(stream, "v1"))
		if stream%250 == 0 {
			tr.TakeUnwritten(now)
		}
	}
	if held, most := tr.Held(), int(resumption.Lifetime/time.Millisecond); held > most {
		t.Errorf("%d streams are held, want at most %d", held, most)
	}
}

// TestStartsRecord guards against starts that are lost or changed on their way through the log, and against a record that can't be read
// and ends the host.
func TestStartsRecord(t *testing.T) {
	t.Parallel()
	starts := []resumption.Start{
		start(1, "v1"), start(1<<63, "v1"), {Service: "other", Version: "v1", Stream: 3}, start(4, "v2"), start(5, ""),
	}
	data, err := resumption.EncodeStarts(starts)
	if err != nil {
		t.Fatal(err)
	}
	got, err := resumption.DecodeStarts(data)
	if err != nil || len(got) != len(starts) {
		t.Fatalf("got %v, error %v", got, err)
	}
	found := map[resumption.Start]bool{}
	for _, one := range got {
		found[one] = true
	}
	for _, one := range starts {
		if !found[one] {
			t.Errorf("%+v is lost", one)
		}
	}
	for _, text := range []string{"", "[]", `{"Starts":[{"Streams":"AAAA"}]}`, `{"Starts":1}`} {
		if _, err := resumption.DecodeStarts([]byte(text)); err == nil {
			t.Errorf("no error for %q", text)
		}
	}
}

// TestMiss guards against a stream of unknown start for which each host waits anew, and against memory for all streams that were ever
// missed.
func TestMiss(t *testing.T) {
	t.Parallel()
	const later = time.Minute
	cases := []struct {
		name     string
		previous time.Duration
		now, at  time.Duration
		want     time.Duration
	}{
		{"missed first", 0, later, later, later},
		{"missed before at this host", later - time.Second, later, later, later - time.Second},
		{"missed before at another host", later - time.Second, later, later - 2*time.Second, later - 2*time.Second},
		{"missed long ago", later - resumption.Lifetime, later, later, later},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := resumption.New()
			if tc.previous > 0 {
				tr.Miss(tc.previous, tc.previous, 1)
			}
			if got := tr.Miss(tc.now, tc.at, 1); got != tc.want {
				t.Errorf("got %s, want %s", got, tc.want)
			}
		})
	}
}

// TestReports guards against streams that only the host knows at which they began, since a relay failed before it had passed them on.
func TestReports(t *testing.T) {
	t.Parallel()
	const later = resumption.Lifetime + time.Second
	tr := resumption.New()
	tr.Begin(time.Second, start(1, "v1"))
	tr.Begin(later, start(2, "v1"))
	tr.Begin(later, start(3, "v1"))
	tr.Learn(later, start(4, "v1"))
	steps := []struct {
		name string
		do   func()
		want int
	}{
		{"begun", func() {}, 2},
		{"the rest", func() {}, 1},
		{"reported", func() {}, 0},
		{"returned", func() { tr.ReturnUnreported([]resumption.Start{start(2, "v1")}) }, 1},
		{"reported again", func() { tr.ReportAgain(later + time.Second) }, 2},
		{"too old", func() { tr.ReportAgain(later + resumption.Lifetime) }, 0},
	}
	for _, step := range steps {
		step.do()
		if got := tr.TakeUnreported(2); len(got) != step.want {
			t.Errorf("%s: got %v, want %d streams", step.name, got, step.want)
		}
	}
}
