package load

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// maxHistogramMicros is the upper limit of the histograms; longer times are recorded as the limit.
	maxHistogramMicros = int64(time.Hour / time.Microsecond)
	histogramDigits    = 3
)

// Quantiles holds the number of recorded times and their quantiles and maximum in milliseconds.
type Quantiles struct {
	Count int64
	P50   float64
	P95   float64
	P99   float64
	Max   float64
}

// Summary holds the counts and latencies of a run.
type Summary struct {
	// ChatsSent and OrdersSent count requests once each, without retries.
	ChatsSent      int
	ChatsAnswered  int
	OrdersSent     int
	OrdersAnswered int
	// Retries counts failed attempts after which a request may be sent again, including the last attempt of each one in GaveUp.
	Retries int
	// GaveUp counts requests that failed MaxAttempts times. Requests with a refusal that excludes a retry are not included.
	GaveUp int
	// Wrong counts complete chat answers for which Plan.CheckChat returned an error; WrongExample is the error of the last one.
	Wrong        int
	WrongExample string `json:",omitempty"`
	// ReusableTokens is the estimated number of prompt tokens that earlier turns of the same chats already contained.
	ReusableTokens int64
	// Broken counts attempts that broke off, by the part that broke: connection, answer or stream.
	Broken map[string]int
	// Refused counts refused attempts by the kind in the body, or by status if the body is not JSON.
	Refused map[chestnutroad.Kind]int
	// FirstTokenMs is the time from a chat's first attempt to a token that is the first one of its attempt.
	FirstTokenMs Quantiles
	// BetweenMs is the time between successive tokens of one attempt.
	BetweenMs Quantiles
	// ChatMs and OrderMs are the times from the first attempt to the complete answer.
	ChatMs  Quantiles
	OrderMs Quantiles
}

// Report collects the results of a run. It is safe for concurrent use.
type Report struct {
	mu            sync.Mutex
	summary       Summary
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	chat          *hdrhistogram.Histogram
	order         *hdrhistogram.Histogram
	// receipts holds the answers to orders by idempotency key.
	receipts map[string]string
}

func newReport() *Report {
	return &Report{
		summary:       Summary{Broken: map[string]int{}, Refused: map[chestnutroad.Kind]int{}},
		firstToken:    hdrhistogram.New(1, maxHistogramMicros, histogramDigits),
		betweenTokens: hdrhistogram.New(1, maxHistogramMicros, histogramDigits),
		chat:          hdrhistogram.New(1, maxHistogramMicros, histogramDigits),
		order:         hdrhistogram.New(1, maxHistogramMicros, histogramDigits),
		receipts:      map[string]string{},
	}
}

// Summary returns a snapshot of the results so far.
func (re *Report) Summary() Summary {
	re.mu.Lock()
	defer re.mu.Unlock()
	summary := re.summary
	summary.Broken = maps.Clone(re.summary.Broken)
	summary.Refused = maps.Clone(re.summary.Refused)
	summary.FirstTokenMs = quantilesOf(re.firstToken)
	summary.BetweenMs = quantilesOf(re.betweenTokens)
	summary.ChatMs = quantilesOf(re.chat)
	summary.OrderMs = quantilesOf(re.order)
	return summary
}

// Receipts returns the answers to orders by idempotency key.
func (re *Report) Receipts() map[string]string {
	re.mu.Lock()
	defer re.mu.Unlock()
	return maps.Clone(re.receipts)
}

// quantilesOf converts the histogram's microseconds to milliseconds.
func quantilesOf(hi *hdrhistogram.Histogram) Quantiles {
	at := func(quantile float64) float64 { return float64(hi.ValueAtQuantile(quantile)) / 1000 }
	return Quantiles{Count: hi.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(hi.Max()) / 1000}
}

func record(hi *hdrhistogram.Histogram, span time.Duration) {
	// Out-of-range times are clamped, so that RecordValue can't fail.
	_ = hi.RecordValue(min(maxHistogramMicros, max(1, span.Microseconds())))
}

// update calls fn with the summary while holding the lock, which also guards the histograms.
func (re *Report) update(fn func(*Summary)) {
	re.mu.Lock()
	defer re.mu.Unlock()
	fn(&re.summary)
}

func (re *Report) countSent(jb *job) {
	re.update(func(su *Summary) {
		if jb.chat {
			su.ChatsSent++
			su.ReusableTokens += jb.reusableTokens
		} else {
			su.OrdersSent++
		}
	})
}

func (re *Report) countRetry()             { re.update(func(su *Summary) { su.Retries++ }) }
func (re *Report) countGivenUp(*job)       { re.update(func(su *Summary) { su.GaveUp++ }) }
func (re *Report) countBroken(part string) { re.update(func(su *Summary) { su.Broken[part]++ }) }

func (re *Report) countRefusal(kind chestnutroad.Kind) {
	re.update(func(su *Summary) { su.Refused[kind]++ })
}

func (re *Report) countWrong(err error) {
	re.update(func(su *Summary) {
		su.Wrong++
		su.WrongExample = err.Error()
	})
}

// recordToken records the latency of a token, since started if it is the first one or else since last, and returns now. Each
// data event of a stream counts as one token.
func (re *Report) recordToken(started, last, now time.Time) time.Time {
	re.mu.Lock()
	defer re.mu.Unlock()
	if last.IsZero() {
		record(re.firstToken, now.Sub(started))
	} else {
		record(re.betweenTokens, now.Sub(last))
	}
	return now
}

func (re *Report) recordChat(span time.Duration) {
	re.update(func(su *Summary) {
		su.ChatsAnswered++
		record(re.chat, span)
	})
}

func (re *Report) recordOrder(jb *job, receipt []byte, span time.Duration) {
	re.update(func(su *Summary) {
		su.OrdersAnswered++
		re.receipts[jb.key] = string(receipt)
		record(re.order, span)
	})
}
