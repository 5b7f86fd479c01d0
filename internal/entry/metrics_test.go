package entry

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/attempt"
	"github.com/chestnutroad/chestnutroad/internal/freshness"
	"github.com/chestnutroad/chestnutroad/internal/golden"
	"github.com/chestnutroad/chestnutroad/internal/placement"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// TestMetricNames guards against renaming metrics and labels on which operators' recipes and alerts depend.
func TestMetricNames(t *testing.T) {
	t.Parallel()
	set := &settings.Entry{ID: "host", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"), Memory: 1 << 20}
	en := New(set, nil, nil, nil, log.New(&bytes.Buffer{}))
	en.counters.registerDroppedLines(func() uint64 { return 0 })
	en.counters.countRetry("service", true)
	en.counters.countRetry("service", false)
	en.counters.countEvacuated("service")
	en.counters.countOutsideRegions("service")
	en.counters.countLimited("service", true)
	en.counters.countLimited("service", false)
	en.counters.countInvalidLimit("service")
	en.counters.countInvalidLoad("service", "Load")
	en.counters.countInvalidLoad("service", "Pace")
	for _, reason := range placement.FetchReasons {
		en.counters.countFetch("service", &placement.Fetch{Target: "i-1", Reason: reason})
	}
	en.counters.countColdSkipped("service", true)
	en.counters.countColdSkipped("service", false)
	en.counters.countThrottled("service", 2, 0.5)
	en.counters.countChoice("service", &placement.Choice{Load: 2, Bound: 1})
	en.counters.countSend("service", nil)
	en.counters.countSend("service", errors.New("unlisted"))
	for _, reason := range sendReasons {
		en.counters.countSend("service", reason.err)
	}
	for _, end := range attempt.StallEnds {
		en.counters.countStall("service", end)
	}
	for _, reason := range []string{incompleteClosing, incompleteStop, incompleteCallerGone, incompleteBroken} {
		en.counters.countIncomplete(reason)
	}
	for _, reason := range freshness.Reasons {
		en.counters.countReason(freshness.Targets, reason)
	}
	en.counters.countLogWait(true, time.Millisecond)
	en.counters.countLogWait(false, time.Second)
	ex := &exchange{service: "service"}
	en.counters.countRequest(ex, outcomeOf(ex, nil))
	en.counters.countRequest(ex, outcomeOf(ex, errCallerGone))
	en.counters.countRequest(ex, outcomeOf(ex, chestnutroad.Refuse(chestnutroad.Overloaded, "")))
	text := ""
	for _, name := range en.counters.set.ListMetricNames() {
		text += name + "\n"
	}
	golden.Text(t, "metrics.txt", text)
}
