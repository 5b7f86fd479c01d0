package entry

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/kvfetch"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// TestSuspectedPromptIsNotFetched guards against engines that fetch the KV cache of a prompt part that is suspected of crashing
// targets.
func TestSuspectedPromptIsNotFetched(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000_000, 0)
	set := &settings.Entry{ID: "host", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"), Memory: 1 << 20}
	en := New(set, nil, nil, nil, log.New(&bytes.Buffer{}))
	en.now = func() time.Time { return now }
	ex := &exchange{callMetadata: chestnutroad.CallMetadata{Parts: []chestnutroad.PromptPart{{ID: "shared", Tokens: 10}, {ID: "own", Tokens: 5}}}}
	ex.setFetchProfile(kvfetch.Auto, &chestnutroad.EngineSpec{KVBytes: 1000, LinkMbps: 1000, Replicas: true})
	if !en.fetchProfile(ex).Enabled() || len(ex.criteria.SharedParts) != 1 {
		t.Fatalf("fetches are off, or the shared parts are %v", ex.criteria.SharedParts)
	}
	for number := range 2 {
		now = now.Add(time.Second)
		en.state.recordCrash(now, ex.features(), &chestnutroad.TargetEntry{ID: "i-1", Incarnation: chestnutroad.Incarnation(number)})
	}
	if en.fetchProfile(ex).Enabled() {
		t.Error("a source may be named for a suspected prompt part")
	}
}
