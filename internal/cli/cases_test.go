package cli_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/cli"
	"github.com/chestnutroad/chestnutroad/internal/operator"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

var update = flag.Bool("update", false, "rewrite the expected output of the cases")

// startHosts starts a test server for each placeholder in the cases and returns pairs of placeholder and address.
func startHosts(t *testing.T) []string {
	t.Helper()
	own := operator.Shard{
		Pool: "north/assistant", DataCentre: "north-a", Owner: "north-a-1", Own: true, Queued: 2, Placements: 40,
		Targets: []operator.Target{{Target: "engine-1", State: "Up", Running: 3, Work: 900}},
	}
	ready := operator.Status{
		Host: "north-a-1", DataCentre: "north-a", Configuration: operator.Configuration{Version: 7},
		Log: operator.LogStatus{Available: true}, Members: make([]operator.Member, 11),
		Shards: []operator.Shard{own}, Control: operator.Control{BytesPerSecond: 2100},
	}
	unready := operator.Status{
		Host: "north-a-2", DataCentre: "north-a",
		NotReady: []operator.Reason{{Part: "Configuration", Message: "no version has been read yet"}},
	}
	partly := operator.Status{
		Host: "north-a-3", DataCentre: "north-a",
		NotReady: []operator.Reason{{Part: "Orders", Message: "the log is down", Partial: true}},
	}
	handlers := []struct {
		name    string
		handler http.Handler
	}{
		{"$READY", operator.New(operator.WithStatus(func() operator.Status { return ready }))},
		{"$UNREADY", operator.New(operator.WithStatus(func() operator.Status { return unready }))},
		{"$PARTLY", operator.New(operator.WithStatus(func() operator.Status { return partly }))},
		{"$NOSTATUS", http.NotFoundHandler()},
		{"$GARBAGE", http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("<html>")) })},
		{"$SILENT", http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })},
	}
	pairs := make([]string, 0, 2*len(handlers))
	for _, entry := range handlers {
		server := httptest.NewServer(entry.handler)
		t.Cleanup(server.Close)
		pairs = append(pairs, entry.name, strings.TrimPrefix(server.URL, "http://"))
	}
	return pairs
}

// fakePublisher is a Publisher without a log. Its value is the port of the log's address, which selects its behaviour: 2
// loses the response of Publish, 3 fails. A parent other than version 4 is refused.
type fakePublisher uint16

func (pb fakePublisher) Publish(_ context.Context, request cli.PublishRequest) (cli.PublishAnswer, error) {
	if _, err := settings.ParseBody(request.Body); err != nil || request.PublishID == "" {
		return cli.PublishAnswer{}, errors.Newf("bad request: %v", err)
	}
	switch {
	case request.Parent != nil && *request.Parent != 4:
		text, _ := os.ReadFile("testdata/input/base.toml")
		body, _ := settings.MarshalBody([]settings.File{{Name: "base.toml", Text: string(text)}})
		return cli.PublishAnswer{Verdict: cli.VerdictRefused, Version: 4, Reason: "another publisher was first", Body: body}, nil
	case pb == 2:
		return cli.PublishAnswer{Verdict: cli.VerdictUnknown, Version: 4, Reason: "the log's response was lost"}, nil
	case pb == 3:
		return cli.PublishAnswer{}, errors.New("the log is down")
	default:
		return cli.PublishAnswer{Verdict: cli.VerdictAccepted, Version: 5}, nil
	}
}

func (pb fakePublisher) History(context.Context) ([]cli.HistoryEntry, error) {
	if pb == 3 {
		return nil, errors.New("the log is down")
	}
	appended := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	return []cli.HistoryEntry{
		{Offset: 10, Appended: appended, PublishID: "P1", Parent: 3, Version: 4, Verdict: cli.VerdictAccepted},
		{Offset: 11, Appended: appended, PublishID: "P2", Parent: 3, Version: 4, Verdict: cli.VerdictRefused, Reason: "version 4 came first"},
	}, nil
}

func connectFakeLog(log netip.AddrPort) (cli.Publisher, error) { return fakePublisher(log.Port()), nil }

// runCase runs each line of the command file and returns the output and exit codes, with addresses replaced by placeholders.
func runCase(t *testing.T, path string, pairs []string, options ...cli.Option) string {
	t.Helper()
	commands, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	substitute, restore := strings.NewReplacer(pairs...), strings.NewReplacer(swapPairs(pairs)...)
	var text strings.Builder
	for line := range strings.Lines(string(commands)) {
		arguments := strings.Fields(substitute.Replace(line))
		var out, errs bytes.Buffer
		application := cli.New(append(options, cli.WithOutput(&out, &errs))...)
		code := application.Run(t.Context(), arguments[1:])
		fmt.Fprintf(&text, "$ %s\n%s", strings.TrimSpace(line), out.String())
		if errs.Len() > 0 {
			fmt.Fprintf(&text, "[standard error]\n%s", errs.String())
		}
		fmt.Fprintf(&text, "[exit %d]\n", code)
	}
	return restore.Replace(text.String())
}

func swapPairs(pairs []string) []string {
	swapped := make([]string, 0, len(pairs))
	for index := 0; index < len(pairs); index += 2 {
		swapped = append(swapped, pairs[index+1], pairs[index])
	}
	return swapped
}

// TestCases guards against unintended changes of output and exit codes: it compares each case with its expected file.
// Cases whose name starts with "unavailable" run without a publisher.
func TestCases(t *testing.T) {
	t.Parallel()
	paths, err := filepath.Glob("testdata/cases/*.cmd")
	if err != nil || len(paths) == 0 {
		t.Fatal("no cases in testdata/cases")
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".cmd")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var options []cli.Option
			if !strings.HasPrefix(name, "unavailable") {
				options = append(options, cli.WithPublisher(connectFakeLog))
			}
			got := runCase(t, path, startHosts(t), options...)
			expected := strings.TrimSuffix(path, ".cmd") + ".expected"
			if *update {
				if err := os.WriteFile(expected, []byte(got), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(expected)
			if err != nil {
				t.Fatal(err)
			}
			if got != string(want) {
				t.Errorf("got:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

// TestInjectedFunctions guards against a verb that does not pass its arguments to its injected function, or that loses the
// exit code of that function's error.
func TestInjectedFunctions(t *testing.T) {
	t.Parallel()
	var serve, demo, load string
	options := []cli.Option{
		cli.WithOutput(&bytes.Buffer{}, &bytes.Buffer{}),
		cli.WithServe(func(_ context.Context, _ *cli.Environment, arguments *cli.Serve) error {
			serve = arguments.Host + strings.Join(arguments.Overlay, "")
			return cli.Exit(cli.CodeUnreachable, errors.New("the log is down"))
		}),
		cli.WithDemo(func(_ context.Context, _ *cli.Environment, arguments *cli.Demo) error {
			demo = arguments.Duration.String()
			return nil
		}),
		cli.WithLoad(func(_ context.Context, _ *cli.Environment, arguments *cli.Load) error {
			load = fmt.Sprint(arguments.Rate, arguments.Entries)
			return errors.New("out of ports")
		}),
	}
	cases := []struct {
		Line string
		Code cli.Code
		Got  *string
		Want string
	}{
		{"serve --host h.toml --overlay a b", cli.CodeUnreachable, &serve, "h.tomlab"},
		{"demo --duration 2s", cli.CodeOK, &demo, "2s"},
		{"load --rate 5 127.0.0.1:1 127.0.0.1:2", cli.CodeFailed, &load, "5 [127.0.0.1:1 127.0.0.1:2]"},
	}
	for _, cs := range cases {
		code := cli.New(options...).Run(t.Context(), strings.Fields(cs.Line))
		if code != int(cs.Code) || *cs.Got != cs.Want {
			t.Errorf("%s: exit %d, got %q, want exit %d, %q", cs.Line, code, *cs.Got, cs.Code, cs.Want)
		}
	}
}

// TestExamples guards against a help example that its verb rejects as wrong usage.
func TestExamples(t *testing.T) {
	t.Parallel()
	for _, vb := range cli.Verbs() {
		var out, errs bytes.Buffer
		words := strings.Fields(vb.Example)
		if code := cli.New(cli.WithOutput(&out, &errs), cli.WithClient(&http.Client{Transport: failingTransport{}})).
			Run(t.Context(), words[1:]); code == int(cli.CodeUsage) {
			t.Errorf("%s: usage error: %s", vb.Example, errs.String())
		}
	}
}

// failingTransport is an HTTP transport that fails every request.
type failingTransport struct{}

func (failingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("refused")
}
