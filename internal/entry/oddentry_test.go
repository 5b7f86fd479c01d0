package entry_test

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/siblings"
	"github.com/chestnutroad/chestnutroad/platform"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// oddEntries returns entries that another writer may leave among those of the runners, by key.
func oddEntries(address string) map[string]string {
	entry := func(change ...string) string {
		text := `{"service":"desk","address":"` + address + `","zone":"dc-a","slots":8,"state":"ready","sequence":1,"born":1}`
		return strings.NewReplacer(change...).Replace(text)
	}
	return map[string]string{
		"odd-array":     `[]`,
		"odd-bytes":     "\xff\x00",
		"odd-born":      entry(`"born":1`, `"born":9223372036854775807`),
		"odd-duplicate": entry(`"born":1`, `"born":1,"slots":-1`),
		"odd-float":     entry(`"sequence":1`, `"sequence":1e400`),
		"odd-long":      entry(`"ready"`, `"`+strings.Repeat("ready", 50_000)+`"`),
		"odd-nested":    entry(`"born":1`, `"x":`+strings.Repeat("[", 200_000)),
		"odd-null":      `null`,
		"odd-port":      entry(address, "127.0.0.1:70000"),
		"odd-port-0":    entry(address, "127.0.0.1:0"),
		"odd-slots":     entry(`"slots":8`, `"slots":1e19`),
		"odd-slots-max": entry(`"slots":8`, `"slots":9223372036854775807`),
	}
}

// TestOddEntries guards against an entry of another writer that ends the hosts, stops them from following the other entries,
// gets requests, or is logged at each read of the list.
func TestOddEntries(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	first := st.runner("i-1", "desk")
	decoy, err := standin.NewRunner("decoy")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(decoy.Close)
	odd := oddEntries(decoy.Address().String())
	for key, text := range odd {
		st.store.PutTarget(key, text)
	}
	hosts := []*host{st.start("host-1", true), st.start("host-2", true)}
	for key, text := range odd {
		st.store.PutTarget(key, text)
	}
	for round := range 3 {
		id := fmt.Sprintf("i-%d", 10+round)
		added := st.runner(id, "desk")
		// The hosts read the whole list again, since the record that they lack is deleted.
		st.store.Compact()
		for _, ht := range hosts {
			ht.awaitUse(added)
		}
	}
	st.store.PutTarget("i-1", first.Entry("desk", "dc-a", "draining"))
	time.Sleep(applyTimeout)
	before := len(first.Arrivals())
	for _, ht := range hosts {
		if got := sendLookups(ht, "later", 30); got[200] != 30 {
			t.Errorf("got statuses %v", got)
		}
		checkOddEntryLog(t, ht.log.String(), odd)
	}
	if later := len(first.Arrivals()) - before; later > 0 {
		t.Errorf("%d requests reached the target that is leaving", later)
	}
	if arrivals := len(decoy.Arrivals()); arrivals > 0 {
		t.Errorf("%d requests reached the address of an odd entry", arrivals)
	}
}

// followTimeout is the time in which a host that follows the list has read it again whole, in pages of three entries.
const followTimeout = 5 * time.Second

// awaitUse waits until the host sends requests to the runner. Each lookup has an id of its own, by which its target is chosen.
func (ht *host) awaitUse(rn *standin.Runner) {
	ht.t.Helper()
	before, number := len(rn.Arrivals()), 0
	ht.eventually(followTimeout, "the new target is used", func() bool {
		number++
		sendLookups(ht, fmt.Sprintf("%s-%s-%d", ht.address, rn.ID, number), 2)
		return len(rn.Arrivals()) > before
	})
}

// checkOddEntryLog fails the test if a log has no line or several lines about an odd entry, or quotes a long one.
func checkOddEntryLog(t *testing.T, text string, odd map[string]string) {
	t.Helper()
	const maxLine = 1 << 10
	longest := 0
	for line := range strings.Lines(text) {
		longest = max(longest, len(line))
	}
	if longest > maxLine {
		t.Errorf("a log line has %d bytes", longest)
	}
	for key := range odd {
		if lines := strings.Count(text, fmt.Sprintf(`"Target":%q`, key)); lines != 1 {
			t.Errorf("%d log lines about %s", lines, key)
		}
	}
}

// TestInvalidTargetKey guards against hosts that hold different lists of targets because of a key that is not valid UTF-8,
// and therefore can't use each other's counts.
func TestInvalidTargetKey(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	rn := st.runner("i-1", "desk")
	hosts := []*host{st.start("host-1", true), st.start("host-2", true)}
	time.Sleep(time.Second)
	st.store.PutTarget("i-\xff", rn.Entry("desk", "dc-a", "ready"))
	// The hosts apply the record at different times.
	time.Sleep(2 * time.Second)
	before := hosts[0].gauge("chestnutroad_counts_unmatched") + hosts[1].gauge("chestnutroad_counts_unmatched")
	time.Sleep(time.Second)
	after := hosts[0].gauge("chestnutroad_counts_unmatched") + hosts[1].gauge("chestnutroad_counts_unmatched")
	if after > before {
		t.Errorf("the hosts could not use the counts in %g messages of one second", after-before)
	}
}

// gauge returns the value of a metric of the host without labels.
func (ht *host) gauge(name string) float64 {
	ht.t.Helper()
	at := netip.AddrPortFrom(ht.settings.CallerAddress.Addr(), metricsPort)
	req, err := http.NewRequestWithContext(ht.t.Context(), http.MethodGet, "http://"+at.String()+"/metrics", http.NoBody)
	if err != nil {
		ht.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		ht.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if text, found := strings.CutPrefix(scanner.Text(), name+" "); found {
			value, err := strconv.ParseFloat(text, 64)
			if err != nil {
				ht.t.Fatal(err)
			}
			return value
		}
	}
	ht.t.Fatalf("there is no metric %s", name)
	return 0
}

// TestLongEntriesArePassedOnShort guards against state calls between hosts that time out, and so delay the news of leaving
// targets, because they carry long entries of another writer.
func TestLongEntriesArePassedOnShort(t *testing.T) {
	t.Parallel()
	const entrySize, maxAnswer = 250_000, 20_000
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	rn := st.runner("i-1", "desk")
	ht := st.start("host-1", true)
	ht.eventually(applyTimeout, "the target is used", func() bool { return stockStatus(ht, "k-1") == http.StatusOK })
	noise := make([]byte, entrySize/2)
	_, _ = rand.NewChaCha8([32]byte{}).Read(noise)
	st.store.PutTarget("odd-hex", hex.EncodeToString(noise))
	text := rn.Entry("desk", "dc-a", "ready")
	st.store.PutTarget("odd-long", strings.Replace(text, `}`, `,"x":"`+hex.EncodeToString(noise)+`"}`, 1))
	time.Sleep(applyTimeout)
	peer := netip.AddrPortFrom(ht.settings.CallerAddress.Addr(), peerPort).String()
	for _, held := range []chestnutroad.Offset{0, 1} {
		answer, err := siblings.Fetch(t.Context(), peer, &siblings.StateRequest{Version: 3, Position: chestnutroad.Position{Offset: held}})
		if err != nil {
			t.Fatal(err)
		}
		size := len(answer.AllTargets)
		for _, record := range answer.Targets {
			size += len(record.Value)
		}
		if size == 0 || size > maxAnswer || answer.Position.Offset != 3 {
			t.Errorf("the records from %d on to %s have %d bytes, want at most %d", held, answer.Position, size, maxAnswer)
		}
	}
}

// TestOddHostEntries guards against entries in the hosts' list that keep hosts from exchanging the state of the targets.
func TestOddHostEntries(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	st.runner("i-1", "desk")
	store := platform.NewStore(st.store.Address().String(), time.Second)
	odd := map[string]string{
		"odd-bytes":  "\xff\x00",
		"odd-empty":  `{}`,
		"odd-nested": strings.Repeat("[", 200_000),
		"odd-number": `{"ID":"odd-number","DataCentre":"dc-a","Address":"127.0.0.1:1","Processors":1e400}`,
		"odd-large":  `{"ID":"odd-large","DataCentre":"dc-a","Address":"127.0.0.1:1","Processors":1e300}`,
		"odd-port":   `{"ID":"odd-port","DataCentre":"dc-a","Address":"127.0.0.1:70000","Processors":4}`,
		"odd-text":   `{"ID":"odd-text","DataCentre":"","Address":"no address","Processors":-1}`,
		"odd-self":   `{"ID":"odd-self","DataCentre":"dc-b","Address":"0.0.0.0:17340","Processors":4}`,
	}
	for key, text := range odd {
		if err := store.Put(t.Context(), chestnutroad.KeyedHosts, key, []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	hosts := []*host{st.start("host-1", true), st.start("host-2", true)}
	relaying := func() float64 {
		return hosts[0].gauge("chestnutroad_relaying") + hosts[1].gauge("chestnutroad_relaying")
	}
	hosts[0].eventually(6*time.Second, "one host relays", func() bool { return relaying() == 1 })
	added := st.runner("i-2", "desk")
	for _, ht := range hosts {
		ht.awaitUse(added)
	}
	hosts[0].eventually(6*time.Second, "one host relays", func() bool { return relaying() == 1 })
	for _, ht := range hosts {
		if lines := strings.Count(ht.log.String(), "host list entry can't be decoded"); lines == 0 || lines > 2*3 {
			t.Errorf("%d lines about entries that can't be decoded, want 3 in each of at most two reads", lines)
		}
	}
}
