package host

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/examples"
	"github.com/chestnutroad/chestnutroad/internal/logging"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/internal/standin/hostlist"
	"github.com/chestnutroad/chestnutroad/internal/standin/logservice"
)

// startPair runs two hosts in one data centre with one plain target, and returns the URLs of the hosts and the index of
// the one that owns the shard.
func startPair(b *testing.B, target string) (entries []string, owner int) {
	b.Helper()
	listed := []chestnutroad.ListedHost{{
		Name: "orders-1", Role: chestnutroad.RoleTarget, Service: "orders", DataCentre: "poznan-a", Address: target,
	}}
	parsed, err := settings.Parse(examples.Warta()...)
	if err != nil {
		b.Fatal(err)
	}
	effective, _ := parsed.Effective("wielkopolska")
	source := logservice.New()
	list := hostlist.New(listed)
	logger, err := logging.New(io.Discard, "error", logging.Fields{})
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	hosts := make([]*Host, 0, 2)
	for _, id := range []chestnutroad.HostID{"host-1", "host-2"} {
		set := &settings.Host{ID: id, Site: "wielkopolska", DataCentre: "poznan-a", ClusterKey: []byte("a key of this benchmark only")}
		set.CallerAddress, set.PeerAddress, set.OperatorAddress = freeAddress(b), freeAddress(b), freeAddress(b)
		if len(hosts) > 0 {
			first := hosts[0].settings
			set.Peers = []settings.Peer{{ID: first.ID, Address: first.PeerAddress}}
		}
		running := New(set, source, list, logger)
		running.UseSettings(effective)
		hosts = append(hosts, running)
		entries = append(entries, "http://"+set.CallerAddress.String())
		group.Go(func() { _ = running.Run(ctx) })
	}
	b.Cleanup(func() {
		stop()
		group.Wait()
	})
	return entries, awaitOwner(b, hosts)
}

// awaitOwner waits until one host owns the only shard and the other one has its epoch, and returns the owner's index.
func awaitOwner(b *testing.B, hosts []*Host) int {
	b.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
		for index, running := range hosts {
			other := hosts[1-index]
			if len(running.ownership.ownedShards()) == 1 && len(other.ownership.ownedShards()) == 0 &&
				len(other.targets.shards()) == 1 && !other.peers.Epoch(other.targets.shards()[0]).IsZero() {
				return index
			}
		}
	}
	b.Fatal("no host owns the shard after 30 s")
	return 0
}

// BenchmarkForwardedCall compares a lookup through the hosts with one through the standard library's reverse proxy in
// front of the same target, in one run. "Local" sends it to the shard's owner, "Forwarded" to the other host.
func BenchmarkForwardedCall(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(writer, `{"Item":"lace-1","Quantity":7}`)
	}))
	defer target.Close()
	address, err := url.Parse(target.URL)
	if err != nil {
		b.Fatal(err)
	}
	proxy := httptest.NewServer(httputil.NewSingleHostReverseProxy(address))
	defer proxy.Close()
	entries, owner := startPair(b, address.Host)
	sides := []struct{ name, url string }{
		{"Proxy", proxy.URL}, {"Local", entries[owner]}, {"Forwarded", entries[1-owner]},
	}
	for _, side := range sides {
		b.Run(side.name+"/One", func(b *testing.B) { measureCalls(b, side.url, 1) })
	}
	for _, side := range sides {
		b.Run(side.name+"/Many", func(b *testing.B) { measureCalls(b, side.url, 32) })
	}
}

// measureCalls sends b.N lookups from concurrent clients and reports latency quantiles and the rate.
func measureCalls(b *testing.B, base string, clients int) {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	defer client.CloseIdleConnections()
	for range 20 * clients {
		sendLookup(b, client, base)
	}
	calls := make(chan struct{}, b.N)
	for range b.N {
		calls <- struct{}{}
	}
	close(calls)
	histograms := make([]*hdrhistogram.Histogram, clients)
	var group sync.WaitGroup
	b.ResetTimer()
	for index := range histograms {
		histograms[index] = hdrhistogram.New(1, int64(time.Minute), 3)
		group.Go(func() {
			for range calls {
				start := time.Now()
				sendLookup(b, client, base)
				_ = histograms[index].RecordValue(int64(time.Since(start)))
			}
		})
	}
	group.Wait()
	b.StopTimer()
	for _, other := range histograms[1:] {
		histograms[0].Merge(other)
	}
	b.ReportMetric(float64(histograms[0].ValueAtQuantile(50))/1000, "p50-µs")
	b.ReportMetric(float64(histograms[0].ValueAtQuantile(99))/1000, "p99-µs")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

func sendLookup(b *testing.B, client *http.Client, base string) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, base+"/stock/lace-1", bytes.NewReader(nil))
	if err != nil {
		b.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer order-desk-token")
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		b.Errorf("status %d, %v", resp.StatusCode, err)
	}
}
