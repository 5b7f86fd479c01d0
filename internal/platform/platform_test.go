package platform_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/platform"
	"github.com/chestnutroad/chestnutroad/internal/standin"
	"github.com/chestnutroad/chestnutroad/internal/standin/hostlist"
	"github.com/chestnutroad/chestnutroad/internal/standin/logservice"
)

const testStream = chestnutroad.StreamOrders

// logImplementation starts an implementation of Log on an empty log with the given options.
type logImplementation struct {
	name  string
	start func(*testing.T, ...logservice.Option) (chestnutroad.Log, *standin.FaultInjector)
}

var logImplementations = []logImplementation{
	{"in memory", func(_ *testing.T, options ...logservice.Option) (chestnutroad.Log, *standin.FaultInjector) {
		lg := logservice.New(options...)
		return lg, lg.FaultInjector()
	}},
	{"HTTP", func(t *testing.T, options ...logservice.Option) (chestnutroad.Log, *standin.FaultInjector) {
		server, err := logservice.Start("127.0.0.1:0", options...)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = server.Close() })
		lg := platform.NewLog(server.Address())
		t.Cleanup(lg.Close)
		return lg, server.FaultInjector()
	}},
}

// outcome is what the result of an append tells about its record.
type outcome string

const (
	appended    outcome = "appended"
	notAppended outcome = "not appended"
	unknown     outcome = "unknown"
)

func tryAppend(ctx context.Context, lg chestnutroad.Log, text string) outcome {
	_, err := lg.Append(ctx, testStream, []byte(text))
	var failure *platform.AppendError
	switch {
	case err == nil:
		return appended
	case platform.NotAppended(err):
		return notAppended
	case errors.As(err, &failure):
		return unknown
	}
	return outcome("untyped error: " + err.Error())
}

// contractCases guard against implementations of Log that differ in offsets, retention or the outcomes of appends. Each case
// appends "a", "b" and "c", then the last text with the faults injected, and reads from offset 1 after the pause.
var contractCases = []struct {
	name    string
	options []logservice.Option
	faults  standin.Faults
	last    string
	outcome outcome
	pause   time.Duration
	oldest  chestnutroad.Offset
	next    chestnutroad.Offset
	texts   string
}{
	{"offsets count up from zero", nil, standin.Faults{}, "d", appended, 0, 0, 4, "bcd"},
	{"retention by count", []logservice.Option{logservice.WithRetention(2, 0)}, standin.Faults{}, "d", appended, 0, 2, 4, "cd"},
	{"retention by age", []logservice.Option{logservice.WithRetention(0, 20*time.Millisecond)}, standin.Faults{}, "d", appended, 50 * time.Millisecond, 4, 4, ""},
	{"rate limit reached", []logservice.Option{logservice.WithAppendRate(0.001, 3)}, standin.Faults{}, "d", notAppended, 0, 0, 3, "bc"},
	{"record too large", []logservice.Option{logservice.WithRecordSize(4)}, standin.Faults{}, "too long", notAppended, 0, 0, 3, "bc"},
	{"lost answer", nil, standin.Faults{LoseAnswers: 1}, "d", unknown, 0, 0, 4, "bcd"},
	{"slow log", nil, standin.Faults{Slow: standin.Duration(20 * time.Millisecond)}, "d", appended, 0, 0, 4, "bcd"},
}

func TestLogContract(t *testing.T) {
	t.Parallel()
	for _, impl := range logImplementations {
		for _, test := range contractCases {
			t.Run(impl.name+"/"+test.name, func(t *testing.T) {
				t.Parallel()
				lg, injector := impl.start(t, test.options...)
				for _, text := range []string{"a", "b", "c"} {
					if got := tryAppend(t.Context(), lg, text); got != appended {
						t.Fatalf("outcome of appending %q: %s, want %s", text, got, appended)
					}
				}
				injector.Set(test.faults)
				if got := tryAppend(t.Context(), lg, test.last); got != test.outcome {
					t.Errorf("outcome of the last append: %s, want %s", got, test.outcome)
				}
				time.Sleep(test.pause)
				batch, err := lg.Read(t.Context(), testStream, 1, 0)
				texts := ""
				for _, record := range batch.Records {
					texts += string(record.Data)
				}
				if err != nil || batch.Oldest != test.oldest || batch.Next != test.next || texts != test.texts {
					t.Errorf("batch %+v with texts %q, error %v; want oldest %d, next %d and texts %q",
						batch, texts, err, test.oldest, test.next, test.texts)
				}
			})
		}
	}
}

// TestLogWaitsAndFails guards against a read that misses the append it waits for, streams that share offsets, and a log
// that is down but looks like an empty one.
func TestLogWaitsAndFails(t *testing.T) {
	t.Parallel()
	for _, impl := range logImplementations {
		lg, injector := impl.start(t)
		if batch, err := lg.Read(t.Context(), testStream, 0, 20*time.Millisecond); err != nil || len(batch.Records) != 0 {
			t.Errorf("%s: batch %+v of an empty stream, error %v", impl.name, batch, err)
		}
		time.AfterFunc(50*time.Millisecond, func() {
			_, _ = lg.Append(t.Context(), chestnutroad.StreamControl, []byte("other"))
			_ = tryAppend(t.Context(), lg, "late")
		})
		batch, err := lg.Read(t.Context(), testStream, 0, 10*time.Second)
		if err != nil || len(batch.Records) != 1 || batch.Next != 1 {
			t.Errorf("%s: batch %+v of a read that waited, error %v; want one record and next 1", impl.name, batch, err)
		}
		injector.Set(standin.Faults{Down: true})
		got := tryAppend(t.Context(), lg, "down")
		if _, err = lg.Read(t.Context(), testStream, 0, 0); !errors.Is(err, platform.ErrUnavailable) || got == appended {
			t.Errorf("%s: append outcome %s, read error %v from a log that is down, want a failed append and %v",
				impl.name, got, err, platform.ErrUnavailable)
		}
		injector.Set(standin.Faults{Slow: standin.Duration(time.Minute)})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		if got := tryAppend(ctx, lg, "slow"); got != notAppended && got != unknown {
			t.Errorf("%s: outcome of an append that timed out: %s", impl.name, got)
		}
		cancel()
		injector.Set(standin.Faults{})
		if got := tryAppend(t.Context(), lg, "again"); got != appended {
			t.Errorf("%s: append outcome %s after the outage", impl.name, got)
		}
	}
}

// TestAppendOutcome guards against reporting a record as not appended although it may be in the log, and against reporting
// its outcome as unknown although the service rejected it.
func TestAppendOutcome(t *testing.T) {
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
		{"unavailable with the not-run header", http.StatusServiceUnavailable, "true", "", true},
		{"request timeout", http.StatusRequestTimeout, "", "", false},
		{"rejected", http.StatusBadRequest, "", "", true},
		{"redirect", http.StatusTemporaryRedirect, "", "", false},
		{"success without an offset", http.StatusOK, "", "{}", false},
		{"malformed body", http.StatusOK, "", "}{", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			calls := 0
			// No other test listens on this address, so that none takes over the port once it is closed.
			server, err := standin.Start("127.0.0.6:0", standin.NewFaultInjector(standin.Faults{}), http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				calls++
				rw.Header().Set("Chestnutroad-Not-Run", test.header)
				rw.Header().Set("Location", "/again")
				rw.WriteHeader(test.status)
				_, _ = rw.Write([]byte(test.body))
			}))
			if err != nil {
				t.Fatal(err)
			}
			lg := platform.NewLog(server.Address())
			_, err = lg.Append(t.Context(), testStream, []byte("a"))
			if err == nil || platform.NotAppended(err) != test.notAppended || calls != 1 {
				t.Errorf("error %v after %d calls, want NotAppended %t after one", err, calls, test.notAppended)
			}
			_ = server.Close()
			lg.Close()
			if _, err = lg.Append(t.Context(), testStream, []byte("a")); !platform.NotAppended(err) {
				t.Errorf("error %v from a closed port, want NotAppended", err)
			}
		})
	}
}

// TestHostList guards against an HTTP client that returns another list than the service holds, a lag fault that has no
// effect, and a service that is down but looks like an empty list.
func TestHostList(t *testing.T) {
	t.Parallel()
	list := hostlist.New([]chestnutroad.ListedHost{{Name: "one", Role: chestnutroad.RoleRouter, Address: "127.0.0.1:1"}})
	server, err := standin.Start("127.0.0.1:0", list.FaultInjector(), list.Handler())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	err = hostlist.PutHost(t.Context(), standin.NewControl(server.Address()), chestnutroad.ListedHost{Name: "two", Leaving: true})
	if err != nil {
		t.Error(err)
	}
	for _, lister := range []chestnutroad.HostList{list, platform.NewHostList(server.Address())} {
		list.FaultInjector().Set(standin.Faults{})
		present, err := lister.Hosts(t.Context())
		if err != nil || len(present) != 2 || !present[1].Leaving {
			t.Errorf("hosts %+v, error %v; want two, the second leaving", present, err)
		}
		list.FaultInjector().Set(standin.Faults{Lag: standin.Duration(time.Minute)})
		if past, err := lister.Hosts(t.Context()); err != nil || len(past) != 1 {
			t.Errorf("lagging hosts %+v, error %v; want one", past, err)
		}
		list.FaultInjector().Set(standin.Faults{Down: true})
		if _, err = lister.Hosts(t.Context()); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("error %v from a list that is down, want %v", err, platform.ErrUnavailable)
		}
	}
}
