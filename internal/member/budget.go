package member

import "time"

// Priority is the priority of a control message; a lower number is sent first.
type Priority int

// The priorities, most urgent first.
const (
	// PriorityProbe is for probes and their answers: a delayed one looks like a failed host.
	PriorityProbe Priority = iota
	// PriorityMembership is for other messages that carry membership records.
	PriorityMembership
	PriorityEpoch
	PriorityLoadSummary
	PriorityVersion
	PriorityPlacement
)

// PriorityCount is the number of priorities.
const PriorityCount = 6

var priorityNames = [PriorityCount]string{"Probe", "Membership", "Epoch", "LoadSummary", "Version", "Placement"}

// String returns the name of the priority, which is its label in metrics.
func (pr Priority) String() string {
	if pr < 0 || int(pr) >= PriorityCount {
		return "Unknown"
	}
	return priorityNames[pr]
}

const (
	// UDPOverhead is the size in bytes of the IP and UDP headers of a datagram.
	UDPOverhead = 28
	// TCPOverhead is the size in bytes of the IP and TCP headers of a segment.
	TCPOverhead = 40
	// DefaultBudgetRate is the number of control bytes that a host may send per second.
	DefaultBudgetRate = 5000
	// DefaultBudgetBurst is the size in bytes of two datagrams of the maximum size. In any period T the budget lets at most
	// rate x T + burst bytes through.
	DefaultBudgetBurst = 2 * (MaxDatagram + UDPOverhead)

	// maxQueueTime is the time after which a queued entry is dropped: an Ack is useless once its probe has timed out.
	maxQueueTime = 500 * time.Millisecond
	// maxQueueLength bounds the queue of each priority.
	maxQueueLength = 64
)

// BudgetEntry is a control message to send.
type BudgetEntry struct {
	Priority Priority
	// Size is the size on the wire in bytes, headers included.
	Size int
	// Value is returned unchanged by Take.
	Value any

	queuedAt time.Time
}

// BudgetCounts counts the entries of a priority. Delayed ones were sent later than they were offered and count as Sent too.
type BudgetCounts struct {
	Sent, SentBytes, Delayed, Dropped uint64
}

// Budget limits the control bytes that a host sends by a token bucket with a queue for each priority. A less urgent
// priority may not use the last part of the bucket, so that a flood of load summaries leaves tokens for the next probe.
type Budget struct {
	rate, burst float64
	tokens      float64
	refilledAt  time.Time
	queues      [PriorityCount][]BudgetEntry
	counts      [PriorityCount]BudgetCounts
	dropped     []BudgetEntry
}

// BudgetOption configures a Budget.
type BudgetOption func(*Budget)

// WithRate sets the rate in bytes per second.
func WithRate(bytes int) BudgetOption { return func(bg *Budget) { bg.rate = float64(bytes) } }

// WithBurst sets the capacity of the token bucket in bytes; it must hold the largest datagram.
func WithBurst(bytes int) BudgetOption { return func(bg *Budget) { bg.burst = float64(bytes) } }

// NewBudget returns a Budget with a full token bucket.
func NewBudget(opts ...BudgetOption) *Budget {
	budget := &Budget{rate: DefaultBudgetRate, burst: DefaultBudgetBurst}
	for _, opt := range opts {
		opt(budget)
	}
	budget.tokens = budget.burst
	return budget
}

// Offer queues an entry; a full queue drops its oldest entry.
func (bg *Budget) Offer(now time.Time, en BudgetEntry) {
	en.queuedAt = now
	queue := bg.queues[en.Priority]
	if len(queue) >= maxQueueLength {
		bg.drop(queue[0])
		queue = queue[1:]
	}
	bg.queues[en.Priority] = append(queue, en)
}

// Take returns the entries that may be sent now, most urgent first, and the entries dropped since the last call. It returns
// at most maxQueueLength dropped ones.
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

// Debit removes tokens for bytes that were sent without being queued, such as keep-alive frames on streams. It leaves
// tokens for one datagram: the frames of a few hundred idle streams use up the whole rate, and a host that no longer
// sends probes and answers is declared dead.
func (bg *Budget) Debit(now time.Time, size int) {
	bg.refill(now)
	floor := min(bg.tokens, MaxDatagram+UDPOverhead)
	bg.tokens = max(floor, bg.tokens-float64(size))
}

// Counts returns the counts of a priority since the start.
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

// reserve returns the tokens that the priority must leave for more urgent ones: a tenth of the bucket for each priority
// above it, so that a flood of the least urgent entries does not block them.
func (bg *Budget) reserve(priority int) float64 { return bg.burst * float64(priority) / 10 }

func (bg *Budget) recordSent(now time.Time, en BudgetEntry) {
	counts := &bg.counts[en.Priority]
	counts.Sent++
	counts.SentBytes += uint64(en.Size)
	if now.After(en.queuedAt) {
		counts.Delayed++
	}
}
