package member

import "time"

// Priority orders control messages; a lower number goes first.
type Priority int

// The priorities, most urgent first.
const (
	// PriorityProbe is for the probes of membership and their answers: one that waits too long looks like a failure.
	PriorityProbe Priority = iota
	// PriorityMembership is for the other messages of membership.
	PriorityMembership
	PriorityEpoch
	PriorityLoadSummary
	PriorityVersion
	PriorityPlacement
)

// PriorityCount is the number of priorities.
const PriorityCount = 6

var priorityNames = [PriorityCount]string{"Probe", "Membership", "Epoch", "LoadSummary", "Version", "Placement"}

// String returns the priority's name in metrics.
func (pr Priority) String() string {
	if pr < 0 || int(pr) >= PriorityCount {
		return "Unknown"
	}
	return priorityNames[pr]
}

const (
	// UDPOverhead is the bytes of the IP and UDP headers of a datagram.
	UDPOverhead = 28
	// TCPOverhead is the bytes of the IP and TCP headers of a segment.
	TCPOverhead = 40
	// DefaultBudgetRate is the control bytes that a host may send each second.
	DefaultBudgetRate = 5000
	// DefaultBudgetBurst is two datagrams of the largest size. Any period T carries at most rate x T + burst.
	DefaultBudgetBurst = 2 * (MaxDatagram + UDPOverhead)

	// Entries that wait longer are out of date: an Ack is useless once the probe has timed out.
	maxQueueTime = 500 * time.Millisecond
	// maxQueueLength bounds the entries that wait in each priority.
	maxQueueLength = 64
)

// BudgetEntry is one control message on its way out.
type BudgetEntry struct {
	Priority Priority
	// Size is the bytes on the wire, headers included.
	Size int
	// Value is handed back unchanged.
	Value any

	queuedAt time.Time
}

// BudgetCounts says what became of the entries of one priority.
type BudgetCounts struct {
	Sent, SentBytes, Delayed, Dropped uint64
}

// Budget is a token bucket over control bytes with one queue for each priority. A lower priority may not touch the
// last part of the bucket, so that a flood of load summaries leaves room for the next probe.
type Budget struct {
	rate, burst float64
	tokens      float64
	refilledAt      time.Time
	queues      [PriorityCount][]BudgetEntry
	counts      [PriorityCount]BudgetCounts
	dropped     []BudgetEntry
}

// BudgetOption changes a default of a Budget.
type BudgetOption func(*Budget)

// WithRate sets the bytes a second.
func WithRate(bytes int) BudgetOption { return func(bg *Budget) { bg.rate = float64(bytes) } }

// WithBurst sets the bytes that may be sent at once after a quiet period; it must hold the largest datagram.
func WithBurst(bytes int) BudgetOption { return func(bg *Budget) { bg.burst = float64(bytes) } }

// NewBudget returns a full bucket.
func NewBudget(opts ...BudgetOption) *Budget {
	budget := &Budget{rate: DefaultBudgetRate, burst: DefaultBudgetBurst}
	for _, opt := range opts {
		opt(budget)
	}
	budget.tokens = budget.burst
	return budget
}

// Offer queues the entry; a full queue drops its oldest entry.
func (bg *Budget) Offer(now time.Time, en BudgetEntry) {
	en.queuedAt = now
	queue := bg.queues[en.Priority]
	if len(queue) >= maxQueueLength {
		bg.drop(queue[0])
		queue = queue[1:]
	}
	bg.queues[en.Priority] = append(queue, en)
}

// Take returns the entries that may be sent now, most urgent first, and those that were dropped since the last call.
func (bg *Budget) Take(now time.Time) (taken, dropped []BudgetEntry) {
	bg.refill(now)
	for priority := range bg.queues {
		bg.expire(now, priority)
		taken = bg.takePriority(now, priority, taken)
	}
	dropped = bg.dropped
	bg.dropped = nil
	return taken, dropped
}

func (bg *Budget) drop(en BudgetEntry) {
	bg.counts[en.Priority].Dropped++
	if len(bg.dropped) < maxQueueLength {
		bg.dropped = append(bg.dropped, en)
	}
}

// Debit takes bytes out of the bucket that were sent without waiting, such as keep-alive frames on streams. It leaves
// the size of one datagram: the frames of a few hundred idle streams fill the whole rate, and a host that sends no
// probes and answers any more is held dead.
func (bg *Budget) Debit(now time.Time, size int) {
	bg.refill(now)
	floor := min(bg.tokens, MaxDatagram+UDPOverhead)
	bg.tokens = max(floor, bg.tokens-float64(size))
}

// Counts returns what became of the entries of a priority so far.
func (bg *Budget) Counts(priority Priority) BudgetCounts { return bg.counts[priority] }

func (bg *Budget) refill(now time.Time) {
	if !bg.refilledAt.IsZero() && now.After(bg.refilledAt) {
		bg.tokens = min(bg.burst, bg.tokens+bg.rate*now.Sub(bg.refilledAt).Seconds())
	}
	if now.After(bg.refilledAt) {
		bg.refilledAt = now
	}
}

func (bg *Budget) expire(now time.Time, priority int) {
	queue := bg.queues[priority]
	for len(queue) > 0 && now.Sub(queue[0].queuedAt) > maxQueueTime {
		bg.drop(queue[0])
		queue = queue[1:]
	}
	bg.queues[priority] = queue
}

func (bg *Budget) takePriority(now time.Time, priority int, taken []BudgetEntry) []BudgetEntry {
	queue := bg.queues[priority]
	for len(queue) > 0 && bg.tokens-float64(queue[0].Size) >= bg.reserve(priority) {
		bg.tokens -= float64(queue[0].Size)
		bg.recordSent(now, queue[0])
		taken = append(taken, queue[0])
		queue = queue[1:]
	}
	bg.queues[priority] = queue
	return taken
}

// reserve returns the tokens that the priority must leave for more urgent ones, so that a flood of the least urgent
// entries always leaves a tenth of the bucket for each priority above it.
func (bg *Budget) reserve(priority int) float64 { return bg.burst * float64(priority) / 10 }

func (bg *Budget) recordSent(now time.Time, en BudgetEntry) {
	counts := &bg.counts[en.Priority]
	counts.Sent++
	counts.SentBytes += uint64(en.Size)
	if now.After(en.queuedAt) {
		counts.Delayed++
	}
}
