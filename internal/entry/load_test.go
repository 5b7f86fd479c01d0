package entry

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// TestInvalidLoadIsLoggedOnce guards against a target whose load can't be read and of which nothing tells, and against a line for each
// of its answers.
func TestInvalidLoadIsLoggedOnce(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000_000, 0)
	set := &settings.Entry{ID: "host", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"), Memory: 1 << 20}
	buffer := &bytes.Buffer{}
	en := New(set, nil, nil, nil, log.New(buffer))
	target := &chestnutroad.TargetEntry{ID: "i-1", Service: "service", Slots: 8, Incarnation: 1}
	en.state.setTarget(now, target, 0)
	const text = "target states a load that can't be read"
	for incarnation := range 2 {
		for range 3 {
			en.applyAnswerMetadata(target, &chestnutroad.AnswerMetadata{HasLoad: true, InvalidPace: true})
		}
		if count := strings.Count(buffer.String(), text); count != incarnation+1 {
			t.Errorf("%d lines after the answers of %d incarnations:\n%s", count, incarnation+1, buffer)
		}
		target.Incarnation++
		en.state.setTarget(now, target, 0)
	}
	name := `chestnutroad_target_loads_invalid_total{service="service",figure="Pace"}`
	if count := en.counters.set.GetOrCreateCounter(name).Get(); count != 6 {
		t.Errorf("%d answers were counted, want 6", count)
	}
}
