package work_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/work"
)

// TestLearnedRates guards against rates that depend on the constant part of waits, on their jitter or on the load of the engine.
func TestLearnedRates(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// tokensPerMs is the prefill rate, stepBase the time of a step without requests and stepEach that for each of them.
		tokensPerMs        float64
		stepBase, stepEach time.Duration
	}{
		{"fast", 82, 4 * time.Millisecond, time.Millisecond},
		{"usual", 57, 8 * time.Millisecond, 1500 * time.Microsecond},
		{"slow", 12, 20 * time.Millisecond, 5 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(1, 1))
			var rt work.Rates
			for range 2000 {
				tokens := []chestnutroad.Tokens{11_800, 2400, 830, 120}[rng.IntN(4)]
				wait := time.Duration((15 + 20*rng.Float64() + float64(tokens)/tc.tokensPerMs) * float64(time.Millisecond))
				rt.ObserveFirstEvent(tokens, wait, 0)
				rt.ObserveFirstEvent(120, 3*time.Second, 1+rng.IntN(20))
				running := 6 + rng.IntN(7)
				rt.ObserveEventGap(tc.stepBase+time.Duration(running)*tc.stepEach, running)
			}
			prefill := time.Millisecond.Seconds() / tc.tokensPerMs
			if got := rt.PrefillTime().Seconds(); got < 0.85*prefill || got > 1.15*prefill {
				t.Errorf("prefill time %s, %.1f µs expected", rt.PrefillTime(), prefill*1e6)
			}
			step := tc.stepEach + tc.stepBase/9
			if got := rt.StepTime(); got < step*8/10 || got > step*12/10 {
				t.Errorf("step time %s, %s expected", got, step)
			}
		})
	}
}

// TestRateBounds guards against load headers and waits that make the work of requests vanish or overflow, and against rates
// that are derived from too little.
func TestRateBounds(t *testing.T) {
	t.Parallel()
	var initial, rt work.Rates
	rt.ObserveFirstEvent(11_800, time.Hour, 0)
	for range 100 {
		rt.ObserveFirstEvent(800, 20*time.Millisecond, -1)
		rt.ObserveEventGap(time.Second, 0)
		rt.ObserveEventGap(-time.Second, 4)
	}
	if rt.PrefillTime() != initial.PrefillTime() || rt.StepTime() != initial.StepTime() {
		t.Errorf("rates changed to %s and %s", rt.PrefillTime(), rt.StepTime())
	}
	for range 5000 {
		rt.ObserveEventGap(0, 1<<30)
		rt.ObserveFirstEvent(0, time.Second, 0)
		rt.ObserveFirstEvent(10_000, 0, 0)
	}
	if rt.PrefillTime() < initial.PrefillTime()/10 || rt.StepTime() < initial.StepTime()/10 {
		t.Errorf("rates fell to %s and %s", rt.PrefillTime(), rt.StepTime())
	}
	if estimate := rt.Estimate(1<<62, 1<<62); estimate <= 0 {
		t.Errorf("the estimate of an implausible request is %s", estimate)
	}
}

// TestPromptTokens guards against cached parts that count as work, and against missing or implausible counts that don't.
func TestPromptTokens(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name      string
		prompt    work.Prompt
		cached    bool
		limit     chestnutroad.Tokens
		events    float64
		prefilled chestnutroad.Tokens
		generated chestnutroad.Tokens
	}{
		{"shared parts are cached", work.Prompt{Total: 11_800, Shared: 10_512}, true, 200, 0.5, 1288, 100},
		{"shared parts are not cached", work.Prompt{Total: 11_800, Shared: 10_512}, false, 200, 0, 11_800, 200},
		{"no total", work.Prompt{Shared: 500}, true, 0, 0.5, 0, 128},
		{"no total, not cached", work.Prompt{Shared: 500}, false, 200, 7, 500, 200},
	}
	for _, tc := range cases {
		if got := tc.prompt.Prefilled(tc.cached); got != tc.prefilled {
			t.Errorf("%s: %d tokens prefilled, want %d", tc.name, got, tc.prefilled)
		}
		if got := work.Generated(tc.limit, tc.events); got != tc.generated {
			t.Errorf("%s: %d tokens generated, want %d", tc.name, got, tc.generated)
		}
	}
}
