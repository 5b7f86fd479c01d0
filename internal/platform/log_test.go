package platform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/platform"
	"github.com/chestnutroad/chestnutroad/internal/standin"
	"github.com/chestnutroad/chestnutroad/internal/standin/logservice"
)

const stream = chestnutroad.StreamOrders

// logMaker starts one implementation of Log over a fresh log with these options.
type logMaker struct {
	name  string
	start func(*testing.T, ...logservice.Option) (chestnutroad.Log, *standin.Switches)
}

var logMakers = []logMaker{
	{"in memory", func(_ *testing.T, options ...logservice.Option) (chestnutroad.Log, *standin.Switches) {
		lg := logservice.New(options...)
		return lg, lg.Switches()
	}},
	{"HTTP", func(t *testing.T, options ...logservice.Option) (chestnutroad.Log, *standin.Switches) {
		server, err := logservice.Start("127.0.0.1:0", options...)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = server.Close() })
		lg := platform.NewLog(server.Address())
		t.Cleanup(lg.Close)
		return lg, server.Switches()
	}},
}

func appendAll(t *testing.T, lg chestnutroad.Log, texts ...string) {
	t.Helper()
	for _, text := range texts {
		if _, err := lg.Append(t.Context(), stream, []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
}

func read(t *testing.T, lg chestnutroad.Log, from chestnutroad.Offset, wait time.Duration) chestnutroad.Batch {
	t.Helper()
	batch, err := lg.Read(t.Context(), stream, from, wait)
	if err != nil {
		t.Fatal(err)
	}
	return batch
}

// contractCases guard against implementations of Log that differ in offsets, retention, waiting or append verdicts.
var contractCases = []struct {
	name    string
	options []logservice.Option
	check   func(*testing.T, chestnutroad.Log, *standin.Switches)
}{
	{"offsets count up from zero in each stream", nil, func(t *testing.T, lg chestnutroad.Log, _ *standin.Switches) {
		appendAll(t, lg, "a", "b", "c")
		offset, err := lg.Append(t.Context(), chestnutroad.StreamControl, []byte("x"))
		batch := read(t, lg, 1, 0)
		if err != nil || offset != 0 || len(batch.Records) != 2 || batch.Next != 3 || string(batch.Records[0].Data) != "b" {
			t.Errorf("offset %d, error %v, batch %+v", offset, err, batch)
		}
	}},
	{"a waiting read returns at the append", nil, func(t *testing.T, lg chestnutroad.Log, _ *standin.Switches) {
		go func() {
			time.Sleep(50 * time.Millisecond)
			_, _ = lg.Append(context.WithoutCancel(t.Context()), stream, []byte("late"))
		}()
		begun := time.Now()
		batch := read(t, lg, 0, 10*time.Second)
		if len(batch.Records) != 1 || time.Since(begun) > 5*time.Second {
			t.Errorf("batch %+v after %v", batch, time.Since(begun))
		}
	}},
	{"a wait without an append ends empty", nil, func(t *testing.T, lg chestnutroad.Log, _ *standin.Switches) {
		if batch := read(t, lg, 0, 20*time.Millisecond); len(batch.Records) != 0 || batch.Oldest != 0 || batch.Next != 0 {
			t.Errorf("batch %+v", batch)
		}
	}},
	{
		"retention by count shows as Oldest",
		[]logservice.Option{logservice.WithRetention(2, 0)},
		func(t *testing.T, lg chestnutroad.Log, _ *standin.Switches) {
			appendAll(t, lg, "a", "b", "c", "d")
			batch := read(t, lg, 0, 0)
			if batch.Oldest != 2 || batch.Next != 4 || len(batch.Records) != 2 || batch.Records[0].Offset != 2 {
				t.Errorf("batch %+v", batch)
			}
		},
	},
	{
		"retention by age empties the stream",
		[]logservice.Option{logservice.WithRetention(0, 20*time.Millisecond)},
		func(t *testing.T, lg chestnutroad.Log, _ *standin.Switches) {
			appendAll(t, lg, "a")
			time.Sleep(50 * time.Millisecond)
			if batch := read(t, lg, 0, 0); batch.Oldest != 1 || batch.Next != 1 || len(batch.Records) != 0 {
				t.Errorf("batch %+v", batch)
			}
		},
	},
	{
		"an append over the rate is certainly not appended",
		[]logservice.Option{logservice.WithAppendRate(0.001, 1)},
		func(t *testing.T, lg chestnutroad.Log, _ *standin.Switches) {
			appendAll(t, lg, "a")
			_, err := lg.Append(t.Context(), stream, []byte("b"))
			if !platform.NotAppended(err) || !errors.Is(err, platform.ErrTooManyAppends) {
				t.Errorf("error %v", err)
			}
		},
	},
	{
		"a large record is certainly not appended",
		[]logservice.Option{logservice.WithRecordSize(4)},
		func(t *testing.T, lg chestnutroad.Log, _ *standin.Switches) {
			_, err := lg.Append(t.Context(), stream, []byte("too long"))
			if !platform.NotAppended(err) || !errors.Is(err, platform.ErrRecordTooLarge) {
				t.Errorf("error %v", err)
			}
		},
	},
	{
		"a lost answer leaves the outcome unknown and one record", nil,
		func(t *testing.T, lg chestnutroad.Log, switches *standin.Switches) {
			appendAll(t, lg, "first")
			switches.Set(standin.Faults{LoseAnswers: 1})
			_, err := lg.Append(t.Context(), stream, []byte("lost"))
			if err == nil || platform.NotAppended(err) {
				t.Errorf("error %v", err)
			}
			if batch := read(t, lg, 0, 0); len(batch.Records) != 2 {
				t.Errorf("batch %+v", batch)
			}
		},
	},
	{"a slow log fails at the deadline", nil, func(t *testing.T, lg chestnutroad.Log, switches *standin.Switches) {
		switches.Set(standin.Faults{Slow: standin.Duration(time.Minute)})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := lg.Append(ctx, stream, []byte("late"))
		var failure *platform.AppendError
		if !errors.As(err, &failure) {
			t.Errorf("error %v", err)
		}
	}},
	{"a log that is down fails and works again", nil, func(t *testing.T, lg chestnutroad.Log, switches *standin.Switches) {
		switches.Set(standin.Faults{Down: true})
		_, appendErr := lg.Append(t.Context(), stream, []byte("a"))
		_, readErr := lg.Read(t.Context(), stream, 0, 0)
		if appendErr == nil || !errors.Is(readErr, platform.ErrUnavailable) {
			t.Errorf("errors %v and %v", appendErr, readErr)
		}
		switches.Set(standin.Faults{})
		appendAll(t, lg, "b")
	}},
}

func TestLogContract(t *testing.T) {
	t.Parallel()
	for _, maker := range logMakers {
		for _, test := range contractCases {
			t.Run(maker.name+"/"+test.name, func(t *testing.T) {
				t.Parallel()
				lg, switches := maker.start(t, test.options...)
				test.check(t, lg, switches)
			})
		}
	}
}

// TestAppendVerdict guards against an append that is called certainly absent although it may be in the log, and against
// one that is called unknown although the service rejected it.
func TestAppendVerdict(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name        string
		status      int
		header      string
		body        string
		notAppended bool
	}{
		{"server error", http.StatusInternalServerError, "", "", false},
		{"bad gateway", http.StatusBadGateway, "", "", false},
		{"unavailable", http.StatusServiceUnavailable, "", "", false},
		{"unavailable and said so", http.StatusServiceUnavailable, "true", "", true},
		{"request timeout", http.StatusRequestTimeout, "", "", false},
		{"rejected", http.StatusBadRequest, "", "", true},
		{"redirect", http.StatusTemporaryRedirect, "", "", false},
		{"success without an offset", http.StatusOK, "", "{}", false},
		{"garbage", http.StatusOK, "", "}{", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			calls := 0
			server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				calls++
				rw.Header().Set("Chestnutroad-Not-Run", test.header)
				rw.Header().Set("Location", "/again")
				rw.WriteHeader(test.status)
				_, _ = rw.Write([]byte(test.body))
			}))
			defer server.Close()
			_, err := platform.NewLog(server.Listener.Addr().String()).Append(t.Context(), stream, []byte("a"))
			if err == nil || platform.NotAppended(err) != test.notAppended || calls != 1 {
				t.Errorf("error %v after %d calls", err, calls)
			}
		})
	}
}

// TestAppendToClosedPort guards against a refused connection being reported as an unknown outcome.
func TestAppendToClosedPort(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	server.Close()
	_, err := platform.NewLog(address).Append(t.Context(), stream, []byte("a"))
	if !platform.NotAppended(err) {
		t.Errorf("error %v", err)
	}
}
