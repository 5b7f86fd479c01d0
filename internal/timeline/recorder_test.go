package timeline_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/timeline"
)

// TestRecorder guards against events that are lost, duplicated or out of order when goroutines record concurrently.
func TestRecorder(t *testing.T) {
	t.Parallel()
	var file bytes.Buffer
	rc := timeline.NewRecorder(&file, "h1", 3, timeline.WithBuffer(10_000))
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 500 {
				rc.Record(timeline.Event{Type: timeline.Placed, Request: "r-1", Target: "e1"})
			}
		})
	}
	group.Wait()
	if err := rc.Close(); err != nil {
		t.Fatal(err)
	}
	rc.Record(timeline.Event{Type: timeline.Stopped})
	events, notices, err := timeline.Read("h1", &file)
	if err != nil || len(notices) != 0 || len(events) != 4000 {
		t.Fatalf("read %d events, want 4000; notices %v, error %v", len(events), notices, err)
	}
	for index, event := range events[1:] {
		if event.Sequence != uint64(index+2) || event.Time.Compare(events[index].Time) <= 0 || event.Incarnation != 3 {
			t.Fatalf("event %+v follows %+v", event, events[index])
		}
	}
	if rc.Dropped() != 1 {
		t.Errorf("%d events dropped, want 1, the one after Close", rc.Dropped())
	}
}

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	file    bytes.Buffer
}

func (bw *blockedWriter) Write(data []byte) (int, error) {
	<-bw.release
	return bw.file.Write(data)
}

// TestRecorderNeverBlocks guards against requests that wait for a slow disk, and against dropped events that are not counted.
func TestRecorderNeverBlocks(t *testing.T) {
	t.Parallel()
	bw := &blockedWriter{release: make(chan struct{})}
	rc := timeline.NewRecorder(bw, "h1", 1, timeline.WithBuffer(10))
	for range 1000 {
		rc.Record(timeline.Event{Type: timeline.Placed, Detail: strings.Repeat("x", 1000)})
	}
	close(bw.release)
	last := rc.Record(timeline.Event{Type: timeline.Stopped})
	if err := rc.Close(); err != nil {
		t.Fatal(err)
	}
	events, _, err := timeline.Read("h1", &bw.file)
	if err != nil || last.Sequence != 1001 {
		t.Fatalf("last sequence %d, want 1001; error %v", last.Sequence, err)
	}
	if rc.Dropped() == 0 || uint64(len(events))+rc.Dropped() != 1001 {
		t.Errorf("%d events written and %d dropped, want 1001 in total and some dropped", len(events), rc.Dropped())
	}
}

// failingWriter is a writer that always fails.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("disk full") }

// TestRecorderError guards against write errors that Close and Dropped do not report.
func TestRecorderError(t *testing.T) {
	t.Parallel()
	rc := timeline.NewRecorder(failingWriter{}, "h1", 1)
	rc.Record(timeline.Event{Type: timeline.Started})
	if err := rc.Close(); err == nil || rc.Dropped() == 0 {
		t.Errorf("got error %v and %d dropped events, want an error and at least one", err, rc.Dropped())
	}
}

// TestRead guards against a file that is rejected because of one damaged line, and against damaged lines without a notice.
func TestRead(t *testing.T) {
	t.Parallel()
	const good = `{"Time":{"Physical":1,"Logical":0},"Host":"a","Incarnation":1,"Sequence":1,"Type":"Started"}`
	cases := []struct {
		Name, Text string
		Events     int
		Notice     string
	}{
		{"Empty", "", 0, ""},
		{"Whole", good + "\n", 1, ""},
		{"NoLastNewline", good + "\n" + good, 2, ""},
		{"CutShort", good + "\n" + good[:40], 1, "f:2: the last line is cut short and was left out"},
		{"DamagedInside", good + "\n{]\n" + good + "\n", 2, "f:2: not an event"},
		{"OtherJSON", "{}\n" + good + "\n", 1, "f:1: not an event: Host or Sequence is missing"},
	}
	for _, cs := range cases {
		t.Run(cs.Name, func(t *testing.T) {
			t.Parallel()
			events, notices, err := timeline.Read("f", strings.NewReader(cs.Text))
			if err != nil || len(events) != cs.Events {
				t.Errorf("%d events, want %d; error %v", len(events), cs.Events, err)
			}
			if len(notices) > 1 || (len(notices) == 0) != (cs.Notice == "") {
				t.Fatalf("notices %v, want %q", notices, cs.Notice)
			}
			if len(notices) == 1 && !strings.HasPrefix(notices[0].String(), cs.Notice) {
				t.Errorf("notice %q, want %q", notices[0], cs.Notice)
			}
		})
	}
	if _, _, err := timeline.Read("f", io.MultiReader(strings.NewReader(good), errorReader{})); err == nil {
		t.Error("a read error was not returned")
	}
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, errors.New("input/output error") }

// TestFilter guards against a filter that shows events of another request, target or version.
func TestFilter(t *testing.T) {
	t.Parallel()
	events := []timeline.Event{
		{Sequence: 1, Request: "r-1", Target: "e1"},
		{Sequence: 2, Request: "r-1", Target: "e2"},
		{Sequence: 3, Request: "r-2", Target: "e1", Version: 7},
	}
	cases := []struct {
		Filter timeline.Filter
		Count  int
	}{
		{timeline.Filter{}, 3},
		{timeline.Filter{Request: "r-1"}, 2},
		{timeline.Filter{Target: "e1"}, 2},
		{timeline.Filter{Request: "r-1", Target: "e1"}, 1},
		{timeline.Filter{Version: 7}, 1},
		{timeline.Filter{Request: "r-3"}, 0},
	}
	for _, cs := range cases {
		matching := cs.Filter.Apply(events)
		if len(matching) != cs.Count {
			t.Errorf("%+v selects %d events, want %d", cs.Filter, len(matching), cs.Count)
		}
		for _, event := range matching {
			if cs.Filter.Request != "" && event.Request != cs.Filter.Request {
				t.Errorf("%+v selects %+v", cs.Filter, event)
			}
		}
	}
}
