package replay

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool/baseline"
)

// The histograms hold times from a microsecond to ten minutes with three significant digits.
const (
	histogramMost   = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// orderKey names one order.
type orderKey struct {
	team chestnutroad.TeamID
	key  chestnutroad.IdempotencyKey
}

// measures gathers what the result reports.
type measures struct {
	si         *simulation
	requests   int
	answered   int
	refusals   map[chestnutroad.Kind]int
	longest    map[chestnutroad.ChatID]chestnutroad.Tokens
	reused     chestnutroad.Tokens
	possible   chestnutroad.Tokens
	prefill    chestnutroad.Tokens
	waits      [chestnutroad.PriorityCount]*hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram

	runs        map[orderKey]int
	seen        map[orderKey]bool
	repeats     int
	unrun       int
	falseNotRun int

	moves      int
	redirects  int
	takeovers  int
	reentries  int
	stateBytes int64
}

func newMeasures(si *simulation) *measures {
	me := &measures{
		si: si, refusals: map[chestnutroad.Kind]int{}, longest: map[chestnutroad.ChatID]chestnutroad.Tokens{},
		firstToken: newHistogram(), tokenGap: newHistogram(),
		runs: map[orderKey]int{}, seen: map[orderKey]bool{},
	}
	for index := range me.waits {
		me.waits[index] = newHistogram()
	}
	return me
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMost, histogramDigits)
}

func observe(histogram *hdrhistogram.Histogram, length time.Duration) {
	_ = histogram.RecordValue(min(histogramMost, length.Microseconds())) // within the histogram's range
}

func keyOf(ca *call) orderKey { return orderKey{ca.rq.Team, ca.rq.Key} }

func (me *measures) arrived(ca *call) {
	me.requests++
	if ca.rq.Key == "" {
		return
	}
	if me.seen[keyOf(ca)] {
		me.repeats++
	}
	me.seen[keyOf(ca)] = true
}

// started notes that a target has begun with an attempt.
func (me *measures) started(at *attempt) {
	ca := at.call
	me.prefill += at.prefill
	if ca.rq.Key != "" {
		me.runs[keyOf(ca)]++
	}
	ca.began = true
	if ca.started {
		return
	}
	ca.started = true
	observe(me.waits[ca.priority], me.si.queue.now-ca.arrived)
	if ca.rq.Chat != 0 {
		possible := min(ca.rq.Prompt, me.longest[ca.rq.Chat])
		me.possible += possible
		me.reused += min(possible, at.cached)
	}
}

// token notes the arrival of a token at the entry host.
func (me *measures) token(ca *call, at time.Duration) {
	if ca.lastToken == 0 && ca.sent == 0 {
		observe(me.firstToken, at-ca.arrived)
	} else if ca.lastToken != 0 {
		observe(me.tokenGap, at-ca.lastToken)
	}
	ca.lastToken = at
}

// checkRefusal notes a refusal that says "not run" although a target had begun.
func (me *measures) checkRefusal(ca *call, refusal *chestnutroad.Refusal) {
	if refusal.NotRun && ca.rq.Key != "" && ca.began {
		me.falseNotRun++
	}
}

// finished takes the final answer of a call.
func (me *measures) finished(ca *call) {
	if ca.kind != "" {
		me.refusals[ca.kind]++
		return
	}
	me.answered++
	if ca.rq.Chat != 0 {
		me.longest[ca.rq.Chat] = max(me.longest[ca.rq.Chat], ca.rq.Prompt+ca.rq.Output)
	}
	if ca.rq.Key != "" && me.runs[keyOf(ca)] == 0 {
		me.unrun++
	}
}

func (me *measures) result() *Result {
	si := me.si
	re := &Result{
		Policy: si.entry.Name, Site: si.tr.Header.Site, TraceSeed: si.tr.Header.Seed, Seed: si.seed,
		Requests: me.requests, Answered: me.answered, Refusals: me.refusalCounts(),
		Reuse: ReuseResult{
			Reused: me.reused, Possible: me.possible, Fraction: rounded(quotient(float64(me.reused), float64(me.possible))),
		},
		Control: me.controlResult(), Orders: me.orderResult(), Waits: me.waitResults(),
		FirstTokenMs: percentile(me.firstToken), TokenGapMs: percentile(me.tokenGap),
		Moves: me.moves, Redirects: me.redirects, Takeovers: me.takeovers, Reentries: me.reentries,
		PrefillTokens: me.prefill,
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
	slices.SortFunc(counts, func(one, other RefusalCount) int { return cmp.Compare(one.Kind, other.Kind) })
	return counts
}

func (me *measures) orderResult() OrderResult {
	re := OrderResult{
		Keys: len(me.seen), Repeats: me.repeats, Lost: me.unrun + len(me.si.open), FalseNotRun: me.falseNotRun,
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
			P50Ms: quantile(histogram, 50), P95Ms: quantile(histogram, 95), P99Ms: quantile(histogram, 99),
		})
	}
	return results
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / 1000
}

func percentile(histogram *hdrhistogram.Histogram) Percentile {
	return Percentile{Count: histogram.TotalCount(), P95: quantile(histogram, 95)}
}

func (me *measures) controlResult() ControlResult {
	re := ControlResult{StateBytes: me.stateBytes}
	if me.si.entry.Scope == baseline.ScopeShard {
		re.Membership = membershipBytes
	}
	membership := float64(re.Membership)
	var total, seconds float64
	for _, ho := range me.si.hostOrder {
		life := me.si.lifeOf(ho).Seconds()
		total += float64(ho.control.total)
		seconds += life
		re.Highest = max(re.Highest, quotient(float64(ho.control.total), life)+membership)
		re.HighestSecond = max(re.HighestSecond, ho.control.highest()+int64(re.Membership))
	}
	re.Mean = rounded(quotient(total, seconds) + membership)
	re.Highest = rounded(re.Highest)
	return re
}

func (si *simulation) lifeOf(ho *host) time.Duration {
	if ho.alive {
		return si.end - ho.born
	}
	return ho.died - ho.born
}
