package replay

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool/baseline"
)

// Histograms record times from one microsecond to ten minutes with three significant digits.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// orderKey identifies an order; idempotency keys are unique only within a team.
type orderKey struct {
	team chestnutroad.TeamID
	key  chestnutroad.IdempotencyKey
}

// measures collects the statistics of a replay for its Result.
type measures struct {
	si             *simulation
	requests       int
	answered       int
	refusals       map[chestnutroad.Kind]int
	longestContext map[chestnutroad.ChatID]chestnutroad.Tokens
	reusedTokens   chestnutroad.Tokens
	reusableTokens chestnutroad.Tokens
	prefillTokens  chestnutroad.Tokens
	waits          [chestnutroad.PriorityCount]*hdrhistogram.Histogram
	firstToken     *hdrhistogram.Histogram
	tokenGap       *hdrhistogram.Histogram

	runs           map[orderKey]int
	seenKeys       map[orderKey]bool
	repeats        int
	answeredNotRun int // orders answered with success that no target started
	falseNotRun    int // see checkRefusal

	moves      int
	redirects  int
	takeovers  int
	reconnects int
	stateBytes int64
}

func newMeasures(si *simulation) *measures {
	me := &measures{
		si: si, refusals: map[chestnutroad.Kind]int{}, longestContext: map[chestnutroad.ChatID]chestnutroad.Tokens{},
		firstToken: newHistogram(), tokenGap: newHistogram(),
		runs: map[orderKey]int{}, seenKeys: map[orderKey]bool{},
	}
	for index := range me.waits {
		me.waits[index] = newHistogram()
	}
	return me
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func observe(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(min(histogramMax, duration.Microseconds())) // the value is always in range
}

func keyOf(ca *call) orderKey { return orderKey{ca.traceReq.Team, ca.traceReq.Key} }

func (me *measures) callArrived(ca *call) {
	me.requests++
	if ca.traceReq.Key == "" {
		return
	}
	if me.seenKeys[keyOf(ca)] {
		me.repeats++
	}
	me.seenKeys[keyOf(ca)] = true
}

// attemptStarted records that a target has started an attempt.
func (me *measures) attemptStarted(at *attempt) {
	ca := at.call
	me.prefillTokens += at.prefill
	if ca.traceReq.Key != "" {
		me.runs[keyOf(ca)]++
	}
	ca.startedSinceConnect = true
	if ca.started {
		return
	}
	ca.started = true
	observe(me.waits[ca.priority], me.si.queue.now-ca.arrivedAt)
	if ca.traceReq.Chat != 0 {
		reusable := min(ca.traceReq.Prompt, me.longestContext[ca.traceReq.Chat])
		me.reusableTokens += reusable
		me.reusedTokens += min(reusable, at.cached)
	}
}

// tokenArrived records the arrival of a token at the entry host.
func (me *measures) tokenArrived(ca *call, at time.Duration) {
	if ca.lastTokenAt == 0 && ca.sent == 0 {
		observe(me.firstToken, at-ca.arrivedAt)
	} else if ca.lastTokenAt != 0 {
		observe(me.tokenGap, at-ca.lastTokenAt)
	}
	ca.lastTokenAt = at
}

// checkRefusal counts a refusal that claims that an order did not run although a target had started it since the
// caller last connected.
func (me *measures) checkRefusal(ca *call, refusal *chestnutroad.Refusal) {
	if refusal.NotRun && ca.traceReq.Key != "" && ca.startedSinceConnect {
		me.falseNotRun++
	}
}

// callFinished records the final answer of a call.
func (me *measures) callFinished(ca *call) {
	if ca.kind != "" {
		me.refusals[ca.kind]++
		return
	}
	me.answered++
	if ca.traceReq.Chat != 0 {
		me.longestContext[ca.traceReq.Chat] = max(me.longestContext[ca.traceReq.Chat], ca.traceReq.Prompt+ca.traceReq.Output)
	}
	if ca.traceReq.Key != "" && me.runs[keyOf(ca)] == 0 {
		me.answeredNotRun++
	}
}

func (me *measures) result() *Result {
	si := me.si
	re := &Result{
		Policy: si.policyEntry.Name, Site: si.tr.Header.Site, TraceSeed: si.tr.Header.Seed, Seed: si.seed,
		Requests: me.requests, Answered: me.answered, Refusals: me.refusalCounts(),
		Reuse: ReuseResult{
			Reused: me.reusedTokens, Possible: me.reusableTokens,
			Fraction: rounded(quotient(float64(me.reusedTokens), float64(me.reusableTokens))),
		},
		Control: me.controlResult(), Orders: me.orderResult(), Waits: me.waitResults(),
		FirstTokenMs: p95Of(me.firstToken), TokenGapMs: p95Of(me.tokenGap),
		Moves: me.moves, Redirects: me.redirects, Takeovers: me.takeovers, Reentries: me.reconnects,
		PrefillTokens: me.prefillTokens,
	}
	for _, pl := range si.pools {
		re.Pools = append(re.Pools, pl.result())
	}
	return re
}

func (me *measures) refusalCounts() []RefusalCount {
	counts := make([]RefusalCount, 0, len(me.refusals))
	for kind, count := range me.refusals {
		counts = append(counts, RefusalCount{kind, count})
	}
	slices.SortFunc(counts, func(a, b RefusalCount) int { return cmp.Compare(a.Kind, b.Kind) })
	return counts
}

func (me *measures) orderResult() OrderResult {
	re := OrderResult{
		Keys: len(me.seenKeys), Repeats: me.repeats, Lost: me.answeredNotRun + len(me.si.openCalls), FalseNotRun: me.falseNotRun,
	}
	for _, runs := range me.runs {
		if runs > 1 {
			re.RunTwice++
		}
	}
	return re
}

func (me *measures) waitResults() []WaitResult {
	results := make([]WaitResult, 0, len(me.waits))
	for index, histogram := range me.waits {
		results = append(results, WaitResult{
			Priority: chestnutroad.Priority(index).String(), Count: histogram.TotalCount(),
			P50Ms: quantileMs(histogram, 50), P95Ms: quantileMs(histogram, 95), P99Ms: quantileMs(histogram, 99),
		})
	}
	return results
}

// quantileMs returns a quantile in milliseconds of a histogram of microseconds.
func quantileMs(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / 1000
}

func p95Of(histogram *hdrhistogram.Histogram) Percentile {
	return Percentile{Count: histogram.TotalCount(), P95: quantileMs(histogram, 95)}
}

func (me *measures) controlResult() ControlResult {
	re := ControlResult{StateBytes: me.stateBytes}
	if me.si.policyEntry.Scope == baseline.ScopeShard {
		re.Membership = membershipBytesPerSecond
	}
	membership := float64(re.Membership)
	var total, seconds float64
	for _, ho := range me.si.hostOrder {
		uptime := me.si.uptimeOf(ho).Seconds()
		total += float64(ho.control.total)
		seconds += uptime
		re.Highest = max(re.Highest, quotient(float64(ho.control.total), uptime)+membership)
		re.HighestSecond = max(re.HighestSecond, ho.control.busiestSecond()+int64(re.Membership))
	}
	re.Mean = rounded(quotient(total, seconds) + membership)
	re.Highest = rounded(re.Highest)
	return re
}

func (si *simulation) uptimeOf(ho *host) time.Duration {
	if ho.alive {
		return si.end - ho.startedAt
	}
	return ho.stoppedAt - ho.startedAt
}
