package load

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// histogramLimit is the longest time that is told apart, in microseconds.
	histogramLimit  = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// Quantiles are times in milliseconds.
type Quantiles struct {
	Count int64
	P50   float64
	P95   float64
	P99   float64
	Max   float64
}

// Summary is the outcome of a run.
type Summary struct {
	ChatsSent      int
	ChatsAnswered  int
	OrdersSent     int
	OrdersAnswered int
	// Retries counts further tries of the same request.
	Retries int
	// GaveUp counts requests that had no answer after all tries.
	GaveUp int
	// Wrong counts answers that were whole but not those to their own request.
	Wrong        int
	WrongExample string `json:",omitempty"`
	// ReusableTokens is the number of prompt tokens that earlier turns of the same chats had.
	ReusableTokens int64
	Broken         map[string]int
	Refused        map[chestnutroad.Kind]int
	FirstTokenMs   Quantiles
	BetweenMs      Quantiles
	ChatMs         Quantiles
	OrderMs        Quantiles
}

// Report gathers the outcome of a run; it is safe for concurrent use.
type Report struct {
	mu      sync.Mutex
	summary Summary
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	chat    *hdrhistogram.Histogram
	order   *hdrhistogram.Histogram
	// receipts holds the first answer to each order, by key.
	receipts map[string]string
}

func newReport() *Report {
	return &Report{
		summary:  Summary{Broken: map[string]int{}, Refused: map[chestnutroad.Kind]int{}},
		first:    hdrhistogram.New(1, histogramLimit, histogramDigits),
		between:  hdrhistogram.New(1, histogramLimit, histogramDigits),
		chat:     hdrhistogram.New(1, histogramLimit, histogramDigits),
		order:    hdrhistogram.New(1, histogramLimit, histogramDigits),
		receipts: map[string]string{},
	}
}

// Summary returns the outcome so far.
func (re *Report) Summary() Summary {
	re.mu.Lock()
	defer re.mu.Unlock()
	summary := re.summary
	summary.Broken = maps.Clone(re.summary.Broken)
	summary.Refused = maps.Clone(re.summary.Refused)
	summary.FirstTokenMs = quantilesOf(re.first)
	summary.BetweenMs = quantilesOf(re.between)
	summary.ChatMs = quantilesOf(re.chat)
	summary.OrderMs = quantilesOf(re.order)
	return summary
}

// Receipts returns the answered orders' keys with their answers.
func (re *Report) Receipts() map[string]string {
	re.mu.Lock()
	defer re.mu.Unlock()
	return maps.Clone(re.receipts)
}

func quantilesOf(hi *hdrhistogram.Histogram) Quantiles {
	at := func(quantile float64) float64 { return float64(hi.ValueAtQuantile(quantile)) / 1000 }
	return Quantiles{Count: hi.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(hi.Max()) / 1000}
}

func record(hi *hdrhistogram.Histogram, span time.Duration) {
	// A time over the limit is counted at the limit.
	_ = hi.RecordValue(min(histogramLimit, max(1, span.Microseconds())))
}

func (re *Report) change(step func(*Summary)) {
	re.mu.Lock()
	defer re.mu.Unlock()
	step(&re.summary)
}

func (re *Report) sent(jb *job) {
	re.change(func(su *Summary) {
		if jb.chat {
			su.ChatsSent++
			su.ReusableTokens += jb.reusable
		} else {
			su.OrdersSent++
		}
	})
}

func (re *Report) retried()            { re.change(func(su *Summary) { su.Retries++ }) }
func (re *Report) gaveUp(*job)         { re.change(func(su *Summary) { su.GaveUp++ }) }
func (re *Report) broken(where string) { re.change(func(su *Summary) { su.Broken[where]++ }) }

func (re *Report) refused(kind chestnutroad.Kind) {
	re.change(func(su *Summary) { su.Refused[kind]++ })
}

func (re *Report) wrong(err error) {
	re.change(func(su *Summary) {
		su.Wrong++
		su.WrongExample = err.Error()
	})
}

// token records the time of a token and returns it.
func (re *Report) token(started, last, now time.Time) time.Time {
	re.mu.Lock()
	defer re.mu.Unlock()
	if last.IsZero() {
		record(re.first, now.Sub(started))
	} else {
		record(re.between, now.Sub(last))
	}
	return now
}

func (re *Report) answeredChat(span time.Duration) {
	re.change(func(su *Summary) {
		su.ChatsAnswered++
		record(re.chat, span)
	})
}

func (re *Report) answeredOrder(jb *job, receipt []byte, span time.Duration) {
	re.change(func(su *Summary) {
		su.OrdersAnswered++
		re.receipts[jb.key] = string(receipt)
		record(re.order, span)
	})
}
