package member

import (
	"testing"
	"time"
)

// TestBudgetUnderFlood guards against a flood of placement exceptions that delays probes or makes the host exceed its
// budget. Probes have the highest priority, placement exceptions the lowest.
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
		t.Errorf("probes: %+v with %d late, want all %d sent at once", got, late, seconds*4)
	}
	if got := budget.Counts(PriorityPlacement); got.Dropped == 0 || got.Sent == 0 {
		t.Errorf("placement: %+v, want some sent and the rest dropped", got)
	}
}

// TestBudgetDebit guards against probes that wait because the keep-alive frames of thousands of idle streams have used up
// the budget. The frames may hold back the least urgent messages only.
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
			t.Fatalf("%d entries sent with keep-alive frames, want only the probe", len(taken))
		}
	}
}
