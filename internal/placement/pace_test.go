package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// TestSlowTargetIsPassedOver guards against plain requests to a target that is several times slower than usual while an equally
// good one is free, against targets that are passed over by statements that no longer say anything, and against a loaded target
// that is chosen for its pace.
func TestSlowTargetIsPassedOver(t *testing.T) {
	t.Parallel()
	const interval = 30 * time.Millisecond
	steady := func(*rand.Rand) float64 { return 8 }
	noise := func(rnd *rand.Rand) float64 {
		if rnd.IntN(8) == 0 {
			return 8
		}
		return 0.1
	}
	cases := []struct {
		name string
		// pace returns the pace of each statement of the slow target; the last one is 8.
		pace func(rnd *rand.Rand) float64
		// age is the time from the last statement to the requests, and others the number of requests at the other targets.
		age    time.Duration
		others int
		part   bool
		off    bool
		passed bool
	}{
		{name: "steadily slow", pace: steady, age: interval, passed: true},
		{name: "disabled", pace: steady, age: interval, off: true},
		{name: "changes with each answer", pace: noise, age: interval},
		{name: "old statement", pace: steady, age: 3 * time.Second},
		{name: "others are loaded", pace: steady, age: interval, others: 1},
		{name: "prompt part", pace: steady, age: interval, part: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			pl, rnd := newPool(3, 64), rand.New(rand.NewPCG(1, 1))
			if tc.off {
				pl.Configure(placement.WithoutMechanisms(mechanism.Set{mechanism.Pace: true}))
			}
			now := start
			for range 200 {
				now = now.Add(interval)
				pl.SetPace(now, "i-000", tc.pace(rnd))
				pl.SetPace(now, "i-001", 1)
			}
			now = now.Add(interval)
			pl.SetPace(now, "i-000", 8)
			for range tc.others {
				pl.Start("i-001")
				pl.Start("i-002")
			}
			now = now.Add(tc.age)
			chosen := 0
			for index := range 60 {
				req := newRequest("", index)
				if tc.part {
					req = newRequest(fmt.Sprintf("part-%d", index), index)
				}
				if choice, _ := pl.Choose(now, req); choice.Entry.ID == "i-000" {
					chosen++
				}
			}
			if tc.passed != (chosen == 0) {
				t.Errorf("the slow target got %d of 60 requests, want none: %t", chosen, tc.passed)
			}
		})
	}
}
