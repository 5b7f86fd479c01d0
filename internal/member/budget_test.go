package member

import (
	"testing"
	"time"
)

// A flood of placement exceptions must not hold back a probe, nor take the host over its budget.
func TestBudgetUnderFlood(t *testing.T) {
	budget := NewBudget()
	start := time.UnixMilli(1_800_000_000_000)
	const seconds = 20
	sent, late := 0, 0
	for step := range seconds * 100 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		for range 10 {
			budget.Offer(now, BudgetEntry{Priority: PriorityPlacement, Size: 700})
		}
		if step%25 == 0 {
			budget.Offer(now, BudgetEntry{Priority: PriorityProbe, Size: 250})
		}
		taken, _ := budget.Take(now)
		for index, entry := range taken {
			sent += entry.Size
			if entry.Priority == PriorityProbe && (index > 0 || !entry.queuedAt.Equal(now)) {
				late++
			}
		}
	}
	if limit := seconds*DefaultBudgetRate + DefaultBudgetBurst; sent > limit {
		t.Errorf("%d bytes sent, the limit is %d", sent, limit)
	}
	if got := budget.Counts(PriorityProbe); got.Sent != seconds*4 || got.Dropped != 0 || late != 0 {
		t.Errorf("membership: %+v with %d late, want all %d at once", got, late, seconds*4)
	}
	if got := budget.Counts(PriorityPlacement); got.Dropped == 0 || got.Sent == 0 {
		t.Errorf("placement: %+v, want some sent and the rest dropped", got)
	}
}

// The keep-alive frames of thousands of idle streams must hold back the least urgent messages, but no probes.
func TestBudgetDebit(t *testing.T) {
	budget := NewBudget()
	now := time.UnixMilli(1_800_000_000_000)
	for range 100 {
		now = now.Add(250 * time.Millisecond)
		budget.Debit(now, 100*DefaultBudgetBurst)
		budget.Offer(now, BudgetEntry{Priority: PriorityProbe, Size: 1000})
		budget.Offer(now, BudgetEntry{Priority: PriorityPlacement, Size: 250})
		taken, _ := budget.Take(now)
		if len(taken) != 1 || taken[0].Priority != PriorityProbe {
			t.Fatalf("%d entries sent beside keep-alive frames, want the probe alone", len(taken))
		}
	}
}
