package ratelimit_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/ratelimit"
)

// TestColdAndStatedLimit guards against the higher of two limits being applied, and against one that ends the other.
func TestColdAndStatedLimit(t *testing.T) {
	t.Parallel()
	lm := ratelimit.New()
	limit := func() chestnutroad.RequestRate { return lm.Admit(start, 1, 0, 0).Limit }
	steps := []struct {
		name string
		run  func()
		want chestnutroad.RequestRate
	}{
		{"cold", func() { lm.SetCold(start, 1, 6) }, 6},
		{"a lower limit is stated", func() { lm.Observe(start, 1, 1, ratelimit.Statement{Limit: 2}) }, 2},
		{"a higher one is stated", func() { lm.Observe(start, 1, 1, ratelimit.Statement{Limit: 20}) }, 6},
		{"stated limits are ignored", func() { lm.IgnoreStated(true); lm.SetCold(start, 1, 30) }, 30},
		{"they count again", func() { lm.IgnoreStated(false) }, 20},
		{"warm", func() { lm.SetCold(start, 1, 0) }, 20},
		{"no limit is stated", func() { lm.Observe(start, 1, 1, ratelimit.Statement{}) }, 0},
	}
	for _, step := range steps {
		step.run()
		if got := limit(); got != step.want {
			t.Errorf("%s: the limit is %g, want %g", step.name, got, step.want)
		}
	}
}

// TestColdMessages guards against a cold time that is lost or prolonged on the way, against one that is read from the statement of a limit,
// and against messages about targets that are warm.
func TestColdMessages(t *testing.T) {
	t.Parallel()
	lm := ratelimit.New()
	lm.SetCold(start, 1, 6)
	lm.Admit(start, 1, 0, 0)
	rates := lm.Take(start)
	if len(rates) != 1 {
		t.Fatalf("got %d rates, want one", len(rates))
	}
	if got := ratelimit.ColdRemaining(&rates[0]); got != 0 {
		t.Errorf("a rate without a cold time states %s", got)
	}
	told := ratelimit.WithCold(rates[0], 3*time.Second)
	told.Age += 400 * time.Millisecond
	if got := ratelimit.ColdRemaining(&told); got != 2600*time.Millisecond {
		t.Errorf("after 0.4 s the target is cold for %s, want 2.6s", got)
	}
	told.Age += time.Hour
	if got := ratelimit.ColdRemaining(&told); got != 0 {
		t.Errorf("the target is still cold for %s after an hour", got)
	}
	stated := ratelimit.WithCold(chestnutroad.TargetRate{Limit: 5, Age: time.Second}, 3*time.Second)
	if stated.Age != time.Second || ratelimit.ColdRemaining(&stated) != 0 {
		t.Errorf("the statement of a limit became %+v", stated)
	}
	lm.SetCold(start, 1, 0)
	if rates := lm.Take(start.Add(time.Second)); len(rates) > 0 {
		t.Errorf("hosts are still told of a warm target: %+v", rates)
	}
}

// TestCutOffHost guards against a host that is cut off from the others and uses more than its own share of the rate of a cold target.
func TestCutOffHost(t *testing.T) {
	t.Parallel()
	const hosts, rate, demand, seconds = 124, 5.2, 40, 60
	lm := ratelimit.New()
	lm.SetHostCount(hosts)
	lm.SetCold(start, 1, rate)
	sent := 0
	for index := range demand * seconds {
		now := start.Add(time.Duration(index) * time.Second / demand)
		if lm.Admit(now, 1, 0, float64(index*37%1000)/1000).Admitted {
			lm.CountSent(now, 1)
			sent++
		}
	}
	if own := float64(rate) / hosts * seconds; float64(sent) > 2*own+2 {
		t.Errorf("the host sent %d requests in %d s, want about %.1f", sent, seconds, own)
	}
}
