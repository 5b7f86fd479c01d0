package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/resumption"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform"
)

// slowLog is a log with a number of records, of which it returns pageRecords after a delay. Each record has the start of the stream with the
// number of its offset, the last one that of the stream last, if there is one.
type slowLog struct {
	records, pageRecords chestnutroad.Offset
	last                 *resumption.Start
	delay                time.Duration
	reads                atomic.Int64
}

// Append does nothing.
func (sl *slowLog) Append(context.Context, chestnutroad.Stream, []byte) (chestnutroad.Offset, error) {
	return 0, nil
}

// Read returns a page of records.
func (sl *slowLog) Read(
	_ context.Context, _ chestnutroad.Stream, from chestnutroad.Offset, _ time.Duration,
) (chestnutroad.Batch, error) {
	sl.reads.Add(1)
	time.Sleep(sl.delay)
	batch := chestnutroad.Batch{Next: sl.records}
	for offset := from; offset < min(sl.records, from+sl.pageRecords); offset++ {
		start := resumption.Start{Service: "model", Version: "v1", Stream: resumption.StreamID(offset)}
		if sl.last != nil && offset == sl.records-1 {
			start = *sl.last
		}
		data, err := resumption.EncodeStarts([]resumption.Start{start})
		if err != nil {
			return batch, err
		}
		batch.Records = append(batch.Records, chestnutroad.Record{Offset: offset, Data: data})
	}
	return batch, nil
}

// TestLongLogOfStarts guards against a host with a small link that never reads the log to its end, as each request begins the read anew,
// and against a read of a history that no stream needs.
func TestLongLogOfStarts(t *testing.T) {
	t.Parallel()
	const pageDelay = 50 * time.Millisecond
	records := &slowLog{records: 100_000, pageRecords: 300, delay: pageDelay}
	en := New(&settings.Entry{
		ID: "host-1", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"), RetryWindow: time.Second,
	}, &pagedStore{}, platform.Wire{}, platform.Decoder{}, log.New(io.Discard), WithLog(records))
	sv := en.streamVersions
	read := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		return sv.loadStarts(ctx)
	}
	if err := read(pageDelay); err == nil {
		t.Error("the log was read at once")
	}
	if err := read(5 * time.Second); err != nil {
		t.Errorf("the log was not read: %v", err)
	}
	// The pages of 15 s, the last of them not full, the first one, and one more read for the call that came during the first read.
	pages := int64(sv.maxRecords()/records.pageRecords + 3)
	if got := records.reads.Load(); got > pages {
		t.Errorf("%d pages were read, want at most %d", got, pages)
	}
	if got := sv.tracker.Decide(0, "model", resumption.StreamID(records.records-1), nil); got.Basis != resumption.Known {
		t.Errorf("got %+v for the last stream in the log", got)
	}
}

// TestStreamWaitsForSlowLog guards against a stream that is refused while its host on a small link reads the log in which it is.
func TestStreamWaitsForSlowLog(t *testing.T) {
	t.Parallel()
	records := &slowLog{records: 100, pageRecords: 10, delay: 80 * time.Millisecond}
	en := New(&settings.Entry{
		ID: "host-1", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"), RetryWindow: time.Second,
	}, &pagedStore{}, platform.Wire{}, platform.Decoder{}, log.New(io.Discard), WithLog(records))
	records.last = &resumption.Start{Service: "model", Version: "v1", Stream: resumption.NewStreamID("r-1")}
	ex := &exchange{
		request: httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", http.NoBody), service: "model",
		callMetadata: chestnutroad.CallMetadata{ID: "r-2", Resumes: "r-1", LastEvent: "1"}, deadline: en.now().Add(10 * time.Second),
	}
	want := resumption.Decision{Basis: resumption.Known, Version: "v1"}
	if got, err := en.streamVersions.decide(ex); got != want || err != nil {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
}

// silentLog is a log that does not answer.
type silentLog struct{ slowLog }

// Read waits for the end of ctx.
func (sl *silentLog) Read(ctx context.Context, _ chestnutroad.Stream, _ chestnutroad.Offset, _ time.Duration) (chestnutroad.Batch, error) {
	<-ctx.Done()
	return chestnutroad.Batch{}, ctx.Err()
}

// TestSilentLogOfStarts guards against resumed streams that each wait for a log that is known not to answer, before they are refused.
func TestSilentLogOfStarts(t *testing.T) {
	t.Parallel()
	en := New(&settings.Entry{
		ID: "host-1", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"), RetryWindow: time.Second,
	}, &pagedStore{}, platform.Wire{}, platform.Decoder{}, log.New(io.Discard), WithLog(&silentLog{}))
	for call, most := range []time.Duration{2 * silenceTimeout, silenceTimeout / 2, silenceTimeout / 2} {
		ctx, cancel := context.WithTimeout(t.Context(), lookupTimeout)
		started := time.Now()
		err := en.streamVersions.loadStarts(ctx)
		cancel()
		if took := time.Since(started); err == nil || took > most {
			t.Errorf("call %d: got error %v after %s, want one within %s", call, err, took, most)
		}
		time.Sleep(timerSlack)
	}
}
