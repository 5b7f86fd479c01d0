package entry

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/attempt"
	"github.com/chestnutroad/chestnutroad/internal/placement"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// TestStallTimer guards against a send that is cancelled although its target made progress or its answer ended while a
// replacement was looked for, and against a replacement that is forgotten.
func TestStallTimer(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// during is called while a replacement is looked for.
		during                         func(st *stallTimer)
		found                          bool
		cancelled, discarded, returned bool
	}{
		{"no progress", func(*stallTimer) {}, true, true, false, true},
		{"no replacement", func(*stallTimer) {}, false, false, false, false},
		{"progress", func(st *stallTimer) { st.reset(time.Hour) }, true, false, true, false},
		{"end", func(st *stallTimer) { go st.stop(); time.Sleep(50 * time.Millisecond) }, true, false, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			discarded := false
			st := &stallTimer{cancel: cancel, due: time.Now(), discard: func(*replacement) { discarded = true }}
			st.replace = func() *replacement {
				tc.during(st)
				if tc.found {
					return &replacement{}
				}
				return nil
			}
			st.timer = time.AfterFunc(time.Hour, func() {})
			st.fire()
			found := st.stop()
			if cancelled := ctx.Err() != nil; cancelled != tc.cancelled || discarded != tc.discarded || (found != nil) != tc.returned {
				t.Errorf("got cancelled: %t, discarded: %t, returned: %t, want %t, %t, %t", cancelled, discarded, found != nil,
					tc.cancelled, tc.discarded, tc.returned)
			}
		})
	}
}

// TestDiscardedReplacement guards against a replacement that is not used but counts as a request at its target, or that uses
// up a retry.
func TestDiscardedReplacement(t *testing.T) {
	t.Parallel()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	set := &settings.Entry{
		ID: "host", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"), RetrySlack: defaultHostCount, RetryWindow: 10 * time.Second,
	}
	en := New(set, nil, nil, nil, log.New(&bytes.Buffer{}))
	en.state.setTarget(en.now(), &chestnutroad.TargetEntry{
		ID: "i-1", Service: "desk", Address: netip.MustParseAddrPort(listener.Addr().String()), Slots: 8,
	}, 0)
	ex := &exchange{
		service: "desk", rule: &chestnutroad.RoutingRule{}, deadline: en.now().Add(time.Hour),
		criteria: placement.Request{Service: "desk"},
	}
	for round := range 3 {
		found := en.replace(t.Context(), ex, time.Second)
		if found == nil || en.state.pool.OwnCounts()["i-1"] != 1 {
			t.Fatalf("round %d: got replacement %+v with counts %v, want one request", round, found, en.state.pool.OwnCounts())
		}
		if en.replace(t.Context(), ex, time.Second) != nil || ex.stalls[len(ex.stalls)-1] != attempt.StallNoBudget {
			t.Errorf("round %d: got stall ends %v, want no budget at the end", round, ex.stalls)
		}
		en.discard("desk", found)
		if counts := en.state.pool.OwnCounts(); len(counts) > 0 {
			t.Errorf("round %d: got counts %v, want none", round, counts)
		}
	}
}
