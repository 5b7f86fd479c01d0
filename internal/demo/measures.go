package demo

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// sampleInterval is the interval between samples of the engines' loads, and between polls of a host's readiness.
const sampleInterval = 50 * time.Millisecond

// Measures holds the three figures that users watch: cache reuse, load skew and control traffic.
type Measures struct {
	// CacheReuse is the number of prompt tokens that engines found in their caches, divided by the estimated number of those
	// that earlier turns of the same chats already contained.
	CacheReuse float64
	// HighestSkew is the highest load of one engine divided by the mean of all running engines, in samples whose mean was
	// above LoadFloor; zero if there were none.
	HighestSkew float64
	// HighestWork is the highest load of one engine in all samples, in work units.
	HighestWork chestnutroad.WorkUnits
	// LoadFloor is the mean load up to which the bound on skew does not apply, in work units.
	LoadFloor chestnutroad.WorkUnits
	// ControlBytesPerHost is the mean control traffic that a host sent, in bytes per second, headers included.
	ControlBytesPerHost float64
}

// sampler samples the loads of the site's engines in the background.
type sampler struct {
	site     *site
	floor    chestnutroad.WorkUnits
	measures Measures
	// done is closed when sampling has stopped; measures may be read afterwards.
	done chan struct{}
}

// startSampler samples until ctx is done. The floor is that of the last service with a model.
func (st *site) startSampler(ctx context.Context) *sampler {
	sm := &sampler{site: st, done: make(chan struct{})}
	for _, svc := range st.effective.Services {
		if svc.Model != "" {
			sm.floor = svc.LoadFloor
		}
	}
	sm.measures.LoadFloor = sm.floor
	go func() {
		defer close(sm.done)
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				sm.sampleLoads()
			}
		}
	}()
	return sm
}

// sampleLoads updates the measures with the current loads of the running engines.
func (sm *sampler) sampleLoads() {
	var sum, highest chestnutroad.WorkUnits
	count := 0
	for _, running := range sm.site.engines {
		if running.stopped {
			continue
		}
		work := running.engine.Work()
		sum += work
		highest = max(highest, work)
		count++
	}
	sm.measures.HighestWork = max(sm.measures.HighestWork, highest)
	if mean := float64(sum) / float64(count); mean > float64(sm.floor) {
		sm.measures.HighestSkew = max(sm.measures.HighestSkew, float64(highest)/mean)
	}
}

// controlBytes returns the number of control bytes that a host has sent, as the sum of its metrics by priority.
func controlBytes(ctx context.Context, operator string) (float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, operator+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	total := 0.0
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		total += controlValue(scanner.Text())
	}
	return total, scanner.Err()
}

// controlValue returns the value in a metrics line that counts control bytes, or zero for any other line.
func controlValue(line string) float64 {
	if !strings.HasPrefix(line, "chestnutroad_control_bytes_total") {
		return 0
	}
	fields := strings.Fields(line)
	value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
	if err != nil {
		return 0
	}
	return value
}
