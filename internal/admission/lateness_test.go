package admission_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/admission"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

// TestLatenessOfUrgentRank guards against less urgent requests that are admitted while urgent ones are late, against refusals of the
// urgent rank for its own lateness, and against refusals while engines have room or few answers are late.
func TestLatenessOfUrgentRank(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		disabled mechanism.Set
		// late is the number of late urgent answers of ten, use the share of slots in use.
		late                    int
		use                     float64
		urgent, least, leastMin float64
	}{
		{"half is late", nil, 5, 0.78, 0, 0.9, 0.3},
		{"disabled", mechanism.Set{mechanism.Ranks: true}, 5, 0.78, 0, 0, 0},
		{"one of ten is late", nil, 1, 0.78, 0, 0, 0},
		{"engines have room", nil, 10, 0.55, 0, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			th := admission.NewThrottle(tc.disabled)
			var urgent, least admission.Decision
			for number := range 100 {
				at := startTime.Add(time.Duration(number) * 50 * time.Millisecond)
				outcome := admission.InTime
				if number%10 < tc.late {
					outcome = admission.Late
				}
				th.Observe(at, 0, outcome, 0.1)
				th.Observe(at, 7, admission.InTime, 0.3)
				urgent = th.Admit(at, 0, admission.Normal, 0.1, tc.use, 0.5)
				least = th.Admit(at, 7, admission.Normal, 0.3, tc.use, 0.5)
			}
			if urgent.RefusedShare > tc.urgent || least.RefusedShare < tc.leastMin || least.RefusedShare > tc.least {
				t.Errorf("refused shares %.3f of the urgent rank, %.3f of the least urgent one", urgent.RefusedShare, least.RefusedShare)
			}
		})
	}
}
