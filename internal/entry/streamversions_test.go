package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/resumption"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// streamEvents is the number of events of the streams in tests of software versions.
const streamEvents = 3

// versionRunner starts a runner of a software version that serves streams.
func (st *site) versionRunner(id, version string) *standin.Runner {
	st.t.Helper()
	rn, err := standin.NewRunner(id)
	if err != nil {
		st.t.Fatal(err)
	}
	st.t.Cleanup(rn.Close)
	rn.Events, rn.Version = streamEvents, version
	st.store.PutTarget(id, rn.Entry(standin.ModelService, "dc-a", "ready"))
	return rn
}

// beginStream begins a stream that breaks off after its first event.
func (ht *host) beginStream(id string) {
	ht.t.Helper()
	got := ht.call(ht.t.Context(), standin.Call{Method: http.MethodPost, Path: standin.ChatPath + "x", ID: id, Key: "k-1", Body: "b"})
	if got.status != http.StatusOK || got.err == nil || got.body != standin.Event(1) {
		ht.t.Fatalf("got status %d, error %v, body %q, want a stream that breaks off\n%s", got.status, got.err, got.body, ht.log)
	}
}

// resumeStream resumes a stream after its first event.
func (ht *host) resumeStream(id, begun string) reply {
	ht.t.Helper()
	return ht.call(ht.t.Context(), standin.Call{
		Method: http.MethodPost, Path: standin.ChatPath + "x", ID: id, Key: "k-1", Body: "b", LastEvent: "1", Resumes: begun,
	})
}

// awaitLog waits until the host's log has the text.
func (ht *host) awaitLog(text string) {
	ht.t.Helper()
	ht.eventually(applyTimeout, "the log has "+text, func() bool { return ht.log.line(text) != "" })
}

// awaitVersions waits until the store holds the number of versions in use.
func (st *site) awaitVersions(ht *host, count int) {
	st.t.Helper()
	store := platform.NewStore(st.store.Address().String(), time.Second)
	ht.eventually(applyTimeout, "the versions in use are written", func() bool {
		batch, err := store.Newest(st.t.Context(), chestnutroad.KeyedVersions, chestnutroad.PageOptions{})
		held := 0
		for _, record := range batch.Records {
			set, decodeErr := resumption.DecodeVersionSet(record.Value)
			if decodeErr != nil {
				st.t.Fatal(decodeErr)
			}
			held += len(set.Versions)
		}
		return err == nil && held == count
	})
}

// stopAndWait stops the host and waits for its end.
func (ht *host) stopAndWait() {
	ht.t.Helper()
	ht.stop()
	ht.ended <- <-ht.ended
}

// startRelayed starts runners of the software versions, a host that becomes the relay and one that follows it.
func startRelayed(t *testing.T, versions ...string) (st *site, runners []*standin.Runner, relay, follower *host) {
	t.Helper()
	st = newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	for index, version := range versions {
		runners = append(runners, st.versionRunner(fmt.Sprintf("i-%d", index), version))
	}
	relay = st.start("host-1", true, func(set *settings.Entry) { set.Processors = 2 })
	follower = st.start("host-2", true)
	st.awaitVersions(relay, len(versions))
	follower.awaitLog(`"Reason":"FollowsRelay"`)
	return st, runners, relay, follower
}

// writeTime is how long hosts take to write where streams began, with a margin for a busy machine.
const writeTime = time.Second

// relayTime is how long hosts take to agree on their relays, with a margin for a busy machine.
const relayTime = 2 * time.Second

// TestStreamsAreNotJoinedFromTwoVersions guards against a stream that goes on at a target of another software version than the one at
// which it began, and against one that does not go on although a target of its version is left.
func TestStreamsAreNotJoinedFromTwoVersions(t *testing.T) {
	t.Parallel()
	// first is the version of the target at which the stream begins, alone at that time. Before the stream is resumed the targets of
	// the versions in joined are added.
	cases := []struct {
		name   string
		joined []string
		// gone is true when the target at which the stream began has left.
		gone bool
		// disrupt returns the host at which the caller resumes the stream.
		resumeAt func(st *site, begunAt, other *host) *host
		served   bool
	}{
		{"same host", []string{"v2"}, false, sameHost, true},
		{"same host, target gone", []string{"v2"}, true, sameHost, false},
		{"same host, target gone, another of its version", []string{"v2", "v1"}, true, sameHost, true},
		{"same host, store down", []string{"v2", "v1"}, true, func(st *site, begunAt, _ *host) *host {
			st.store.SetFault(standin.Busy)
			return begunAt
		}, true},
		{"other host", []string{"v2"}, false, otherHost, true},
		{"other host, target gone", []string{"v2"}, true, otherHost, false},
		{"other host, target gone, another of its version", []string{"v2", "v1"}, true, otherHost, true},
		{"other host, target gone, store down", []string{"v2", "v1"}, true, func(st *site, _, other *host) *host {
			st.store.SetFault(standin.Busy)
			return other
		}, true},
		{"other host, target and first host gone, store down", []string{"v2", "v1"}, true, func(st *site, begunAt, other *host) *host {
			begunAt.stopAndWait()
			st.store.SetFault(standin.Busy)
			return other
		}, true},
		{"other host, one version", nil, false, otherHost, true},
		{"other host, one version, target gone", []string{"v1"}, true, otherHost, true},
		{"other host, one version, store down", nil, false, func(st *site, _, other *host) *host {
			st.store.SetFault(standin.Silent)
			return other
		}, true},
		{"new host", []string{"v2"}, false, newHost, true},
		{"new host, target gone", []string{"v2"}, true, newHost, false},
		{"new host, target gone, another of its version", []string{"v2", "v1"}, true, newHost, true},
		{"new host, one version", nil, false, newHost, true},
		{"all hosts started anew", []string{"v2", "v1"}, true, allNew, true},
		{"all hosts started anew, target gone", []string{"v2"}, true, allNew, false},
		{"all hosts started anew, one version", []string{"v1"}, true, allNew, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			first := st.versionRunner("i-0", "v1")
			begunAt, other := st.start("host-1", true), st.start("host-2", true)
			st.awaitVersions(begunAt, 1)
			first.SetNext(standin.Cut)
			begunAt.beginStream("r-1")
			var others []*standin.Runner
			for index, version := range tc.joined {
				id := "i-" + string(rune('1'+index))
				others = append(others, st.versionRunner(id, version))
				begunAt.awaitLog(`"Target":"` + id + `"`)
				other.awaitLog(`"Target":"` + id + `"`)
			}
			time.Sleep(writeTime)
			if tc.gone {
				st.store.PutTarget("i-0", "")
				begunAt.awaitLog("target gone")
				other.awaitLog("target gone")
			}
			ht := tc.resumeAt(st, begunAt, other)
			got := ht.resumeStream("r-2", "r-1")
			checkResumed(t, ht, &got, tc.served)
			for index, rn := range others {
				if runs := rn.Runs(); tc.joined[index] != "v1" && len(runs) > 0 {
					t.Errorf("a target of another version ran %+v", runs)
				}
			}
		})
	}
}

func sameHost(_ *site, begunAt, _ *host) *host { return begunAt }

func otherHost(_ *site, _, other *host) *host { return other }

func newHost(st *site, _, _ *host) *host { return st.start("host-3", true) }

func allNew(st *site, begunAt, other *host) *host {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		other.stopAndWait()
	}()
	begunAt.stopAndWait()
	<-ended
	return st.start("host-1", true)
}

// checkResumed checks that a resumed stream went on to its end, or that it was refused.
func checkResumed(t *testing.T, ht *host, got *reply, served bool) {
	t.Helper()
	rest := strings.TrimPrefix(standin.Events(streamEvents), standin.Event(1))
	if served && (got.status != http.StatusOK || got.err != nil || got.body != rest) {
		t.Errorf("got status %d, error %v, body %q, want the rest of the stream\n%s", got.status, got.err, got.body, ht.log)
	}
	if !served && got.status != http.StatusServiceUnavailable {
		t.Errorf("got status %d, body %q, want 503\n%s", got.status, got.body, ht.log)
	}
}

// TestVersionReplacedWhileNoHostRan guards against a stream that goes on at the version that replaced its own while no host ran, where
// only the store knows the former one.
func TestVersionReplacedWhileNoHostRan(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	first := st.versionRunner("i-0", "v1")
	ht := st.start("host-1", true)
	st.awaitVersions(ht, 1)
	first.SetNext(standin.Cut)
	ht.beginStream("r-1")
	ht.stopAndWait()
	st.store.PutTarget("i-0", "")
	second := st.versionRunner("i-1", "v2")
	ht = st.start("host-2", true)
	got := ht.resumeStream("r-2", "r-1")
	checkResumed(t, ht, &got, false)
	if runs := second.Runs(); len(runs) > 0 {
		t.Errorf("a target of another version ran %+v", runs)
	}
}

// TestBrokenStreamIsNotResumedAtAnotherVersion guards against one answer with events of two software versions.
func TestBrokenStreamIsNotResumedAtAnotherVersion(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		versions []string
		complete bool
	}{
		{"two versions", []string{"v1", "v2"}, false},
		{"one version", []string{"v1", "v1"}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			runs := 0
			runners := []*standin.Runner{st.versionRunner("i-0", tc.versions[0]), st.versionRunner("i-1", tc.versions[1])}
			for _, rn := range runners {
				rn.SetNext(standin.Cut)
			}
			ht := st.start("host-1", true)
			got := ht.call(t.Context(), standin.Call{Method: http.MethodPost, Path: standin.ChatPath + "x", ID: "r-1", Key: "k-1", Body: "b"})
			for _, rn := range runners {
				runs += len(rn.Runs())
			}
			if wanted := map[bool]int{true: 2, false: 1}[tc.complete]; runs != wanted {
				t.Errorf("got %d runs, want %d; body %q", runs, wanted, got.body)
			}
		})
	}
}

// logStart writes to the log that another host has begun a stream at a version.
func (st *site) logStart(id chestnutroad.RequestID, version chestnutroad.SoftwareVersion) {
	st.t.Helper()
	data, err := resumption.EncodeStarts([]resumption.Start{
		{Service: standin.ModelService, Version: version, Stream: resumption.NewStreamID(id)},
	})
	if err != nil {
		st.t.Fatal(err)
	}
	if _, err := st.log().Append(st.t.Context(), chestnutroad.StreamStarts, data); err != nil {
		st.t.Fatal(err)
	}
}

// log returns a client of the site's log.
func (st *site) log() *platform.Log {
	return platform.NewLog(platform.NewStore(st.store.Address().String(), time.Second))
}

// TestVersionThatTheListLacks guards against a stream that goes on at the only version in a host's list of targets, although it began at
// one that appeared after the host had read the list.
func TestVersionThatTheListLacks(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	first := st.versionRunner("i-0", "v1")
	ht := st.start("host-1", true)
	st.awaitVersions(ht, 1)
	st.logStart("r-1", "v2")
	got := ht.resumeStream("r-2", "r-1")
	checkResumed(t, ht, &got, false)
	if runs := first.Runs(); len(runs) > 0 {
		t.Errorf("a target of another version ran %+v", runs)
	}
	other := ht.resumeStream("r-4", "r-3")
	checkResumed(t, ht, &other, true)
}

// TestRelayKnowsWhereStreamBegan guards against a stream that is refused since its host can't read the log, although the relay of the data
// centre knows where the stream began.
func TestRelayKnowsWhereStreamBegan(t *testing.T) {
	t.Parallel()
	st, runners, relay, other := startRelayed(t, "v1")
	runners[0].SetNext(standin.Cut)
	relay.beginStream("r-1")
	second := st.versionRunner("i-1", "v2")
	relay.awaitLog(`"Target":"i-1"`)
	other.awaitLog(`"Target":"i-1"`)
	st.store.SetFault(standin.Busy)
	got := other.resumeStream("r-2", "r-1")
	checkResumed(t, other, &got, true)
	if runs := second.Runs(); len(runs) > 0 {
		t.Errorf("a target of another version ran %+v", runs)
	}
}

// TestStreamNotYetInLogIsResumed guards against a stream that is refused since the host at which it began a moment ago has not written that
// to the log yet.
func TestStreamNotYetInLogIsResumed(t *testing.T) {
	t.Parallel()
	_, runners, relay, begunAt := startRelayed(t, "v1", "v2")
	for index := range 4 {
		for _, rn := range runners {
			rn.SetNext(standin.Cut)
		}
		begun := fmt.Sprintf("r-%d-a", index)
		begunAt.beginStream(begun)
		for _, rn := range runners {
			rn.SetNext(standin.Serve)
		}
		got := relay.resumeStream(fmt.Sprintf("r-%d-b", index), begun)
		checkResumed(t, relay, &got, true)
	}
}

// TestRelayAppendsStarts guards against each host of a data centre that writes to the log by itself, and against a relay that does not
// write what it has taken.
func TestRelayAppendsStarts(t *testing.T) {
	t.Parallel()
	const written = "chestnutroad_stream_starts_written_total"
	_, _, relay, begunAt := startRelayed(t, "v1", "v2")
	for index := range 5 {
		begunAt.call(t.Context(), standin.Call{
			Method: http.MethodPost, Path: standin.ChatPath + "x", ID: fmt.Sprintf("r-%d", index), Key: "k-1", Body: "b",
		})
	}
	relay.eventually(writeTime, "the relay has written the starts", func() bool { return relay.metric(written) == "5" })
	if got := begunAt.metric(written); got != "" {
		t.Errorf("the other host has written %s starts", got)
	}
}

// TestMissedStreamIsRefusedAtOnce guards against a caller who waits at each host anew for a stream that is known not to be in the log.
func TestMissedStreamIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	_, _, relay, other := startRelayed(t, "v1", "v2")
	took := func(ht *host, id string) time.Duration {
		started := time.Now()
		got := ht.resumeStream(id, "r-unknown")
		checkResumed(t, ht, &got, false)
		return time.Since(started)
	}
	first := took(relay, "r-1")
	for _, ht := range []*host{relay, other} {
		if again := took(ht, "r-2"); again > first/2 {
			t.Errorf("the refusal took %s, after a first one that took %s\n%s", again, first, ht.log)
		}
	}
}

// TestUnknownStreamIsRefused guards against a stream of which nobody knows where it began and that goes on at some version.
func TestUnknownStreamIsRefused(t *testing.T) {
	t.Parallel()
	for _, fault := range []standin.Fault{standin.Healthy, standin.Busy, standin.Silent} {
		t.Run(fmt.Sprintf("fault %d of the store", fault), func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			runners := []*standin.Runner{st.versionRunner("i-0", "v1"), st.versionRunner("i-1", "v2")}
			hosts := []*host{st.start("host-1", true), st.start("host-2", true)}
			st.awaitVersions(hosts[0], 2)
			st.store.SetFault(fault)
			for index, ht := range hosts {
				got := ht.resumeStream(fmt.Sprintf("r-%d", index), "r-unknown")
				checkResumed(t, ht, &got, false)
			}
			for _, rn := range runners {
				if runs := rn.Runs(); len(runs) > 0 {
					t.Errorf("a target ran %+v", runs)
				}
			}
		})
	}
}

// TestStreamOutlivesItsHosts guards against a stream that is refused while a target of its version serves, since all hosts that knew where
// it began have ended before a second version appeared.
func TestStreamOutlivesItsHosts(t *testing.T) {
	t.Parallel()
	const otherCentre = 3
	cases := []struct {
		name string
		// ended are the hosts that end, in order, started those that start again; the stream begins at host 2 and is resumed at
		// resumeAt. Host 0 is the relay of hosts 0 to 2, host 3 is in another data centre.
		ended, started []int
		resumeAt       int
	}{
		{"its host", []int{2}, nil, 1},
		{"its host and then the relay", []int{2, 0}, nil, 1},
		{"its host, and the relay starts again", []int{2, 0}, []int{0}, 0},
		{"its data centre", []int{2, 1, 0}, nil, otherCentre},
		{"its data centre, which starts again", []int{2, 1, 0}, []int{0, 1}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			first := st.versionRunner("i-0", "v1")
			start := func(index int) *host {
				return st.start(fmt.Sprintf("host-%d", index), true, func(set *settings.Entry) {
					set.Processors = float64(4 - index)
					if index == otherCentre {
						set.DataCentre = "dc-b"
					}
				})
			}
			hosts := make([]*host, 0, otherCentre+1)
			for index := range otherCentre + 1 {
				hosts = append(hosts, start(index))
			}
			time.Sleep(relayTime)
			first.SetNext(standin.Cut)
			hosts[2].beginStream("r-1")
			time.Sleep(writeTime)
			for _, index := range tc.ended {
				hosts[index].stopAndWait()
			}
			for _, index := range tc.started {
				hosts[index] = start(index)
			}
			second := st.versionRunner("i-1", "v2")
			ht := hosts[tc.resumeAt]
			ht.awaitLog(`"Target":"i-1"`)
			time.Sleep(writeTime)
			got := ht.resumeStream("r-2", "r-1")
			checkResumed(t, ht, &got, true)
			if runs := second.Runs(); len(runs) > 0 {
				t.Errorf("a target of another version ran %+v", runs)
			}
		})
	}
}

// TestHostOutOfStepDoesNotJoinVersions guards against a stream that goes on at the only version in a host's list of targets, since the host has
// not read yet, or can't read, that others have begun streams at a version that joined a moment ago.
func TestHostOutOfStepDoesNotJoinVersions(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// change happens just before the stream is resumed.
		change func(st *site)
		served bool
		// first is true if the stream may go on at the first version.
		first bool
	}{
		{"in step", func(*site) {}, true, true},
		{"not read yet", func(st *site) {
			st.versionRunner("i-1", "v2").SetNext(standin.Refuse)
			st.logStart("r-1", "v2")
		}, false, false},
		{"not read yet, began at the first version", func(st *site) { st.versionRunner("i-1", "v2") }, true, true},
		{"cut off, no answer", func(st *site) { st.store.SetFault(standin.Silent) }, false, false},
		{"cut off, errors", func(st *site) { st.store.SetFault(standin.Busy) }, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			first := st.versionRunner("i-0", "v1")
			ht := st.start("host-1", true)
			st.awaitVersions(ht, 1)
			tc.change(st)
			got := ht.resumeStream("r-2", "r-1")
			checkResumed(t, ht, &got, tc.served)
			if runs := first.Runs(); !tc.first && len(runs) > 0 {
				t.Errorf("a target of another version ran %+v", runs)
			}
		})
	}
}
