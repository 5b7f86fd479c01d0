package entry

import (
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/internal/siblings"
	"github.com/chestnutroad/chestnutroad/platform"
)

// slowDecoder decodes entries of ready targets only after released is closed.
type slowDecoder struct {
	platform.Decoder
	decoding, released chan struct{}
}

// Target decodes the entry of a target.
func (sd *slowDecoder) Target(key string, value []byte) (chestnutroad.TargetEntry, error) {
	if strings.Contains(string(value), `"ready"`) {
		close(sd.decoding)
		<-sd.released
	}
	return sd.Decoder.Target(key, value)
}

// TestTargetUpdatesFromTwoSources guards against a leaving target that is in use again, when an earlier state of it from another host is
// applied while a read of the store applies the later one.
func TestTargetUpdatesFromTwoSources(t *testing.T) {
	t.Parallel()
	const format = `{"service":"desk","address":"127.0.0.1:2","zone":"dc-a","slots":8,"state":"STATE","sequence":1,"born":1}`
	record := func(state string, offset chestnutroad.Offset) []chestnutroad.KeyedRecord {
		return []chestnutroad.KeyedRecord{{
			Key: "i-1", Value: []byte(strings.Replace(format, "STATE", state, 1)), Position: chestnutroad.Position{Offset: offset},
		}}
	}
	decoder := &slowDecoder{decoding: make(chan struct{}), released: make(chan struct{})}
	en := New(&settings.Entry{
		ID: "host-1", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"), RetryWindow: time.Second,
	}, &pagedStore{}, platform.Wire{}, decoder, log.New(io.Discard))
	earlier, later := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(earlier)
		en.applyTargets(record("ready", 5), chestnutroad.Position{Offset: 6})
	}()
	<-decoder.decoding
	go func() {
		defer close(later)
		en.applyTargets(record("draining", 9), chestnutroad.Position{Offset: 10})
	}()
	select {
	case <-later:
	case <-time.After(100 * time.Millisecond):
	}
	close(decoder.released)
	<-earlier
	<-later
	en.state.mu.Lock()
	defer en.state.mu.Unlock()
	if entry, found := en.state.pool.Entry("i-1"); !found || !entry.Leaving {
		t.Errorf("got %+v, want a leaving target", entry)
	}
	if got := en.state.records.positionOf("i-1"); got.Offset != 9 {
		t.Errorf("the record for other hosts is that of %v, want that of offset 9", got)
	}
}

// TestFetchedTargetsOfEarlierEra guards against targets of an earlier era of the store from another host, which are applied after the host
// has read a later era itself, so that the targets count as gone once they are not listed.
func TestFetchedTargetsOfEarlierEra(t *testing.T) {
	t.Parallel()
	const entry = `{"service":"desk","address":"127.0.0.1:2","zone":"dc-a","slots":8,"state":"ready","sequence":1,"born":1}`
	decoder := &slowDecoder{decoding: make(chan struct{}), released: make(chan struct{})}
	en := New(&settings.Entry{
		ID: "host-1", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"), RetryWindow: time.Second,
	}, &pagedStore{}, platform.Wire{}, decoder, log.New(io.Discard))
	fetched, read := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(read)
		en.resetTargets([]chestnutroad.KeyedRecord{{
			Key: "i-1", Value: []byte(entry), Position: chestnutroad.Position{Era: 3},
		}}, chestnutroad.Position{Era: 3, Offset: 1}, "store")
	}()
	<-decoder.decoding
	go func() {
		defer close(fetched)
		en.mergeTargets(&siblings.State{
			Position: chestnutroad.Position{Era: 2, Offset: 9},
			Targets: []chestnutroad.KeyedRecord{{
				Key: "i-2", Value: []byte(strings.Replace(entry, "ready", "draining", 1)), Position: chestnutroad.Position{Era: 2, Offset: 8},
			}},
		}, "host-2")
	}()
	select {
	case <-fetched:
	case <-time.After(100 * time.Millisecond):
	}
	close(decoder.released)
	<-read
	<-fetched
	en.state.mu.Lock()
	defer en.state.mu.Unlock()
	if _, found := en.state.pool.Entry("i-2"); found {
		t.Error("a target of the earlier era is in use")
	}
}
