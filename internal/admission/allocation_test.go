package admission_test

import (
	"math"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/admission"
)

// stream is a regular stream of requests of one class.
type stream struct {
	rank       int
	precedence admission.DropPrecedence
	rate, work float64
}

// play offers the streams for 14 s, while work of answers in time is done at the capacity, and returns the mean refused share of each
// stream in the last 2 s. Every slot is in use.
func play(streams []stream, capacity float64) []float64 {
	const step = 5 * time.Millisecond
	th := admission.NewThrottle(nil)
	due, shares, counts := make([]float64, len(streams)), make([]float64, len(streams)), make([]float64, len(streams))
	for now := time.Duration(0); now < 14*time.Second; now += step {
		th.Observe(startTime.Add(now), 0, admission.InTime, capacity*step.Seconds())
		for index, sr := range streams {
			for due[index] += sr.rate * step.Seconds(); due[index] >= 1; due[index]-- {
				decision := th.Admit(startTime.Add(now), sr.rank, sr.precedence, sr.work, 1, 0.5)
				if now >= 12*time.Second {
					shares[index] += decision.RefusedShare
					counts[index]++
				}
			}
		}
	}
	for index := range shares {
		shares[index] /= counts[index]
	}
	return shares
}

// tenRanks returns streams of ranks 0 to 9, the less urgent the longer.
func tenRanks() []stream {
	streams := make([]stream, 0, 10)
	for rank := range 10 {
		streams = append(streams, stream{rank, admission.Normal, 20, 0.1 * float64(1+rank)})
	}
	return streams
}

// TestRefusedWork guards against refusals that free more or less work than is needed, whatever the sizes of requests, and against a
// class of long requests that starves.
func TestRefusedWork(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		streams  []stream
		capacity float64
	}{
		{"equal work", []stream{{0, admission.Normal, 40, 1}, {1, admission.Normal, 40, 1}, {2, admission.Normal, 40, 1}}, 60},
		{"few long requests", []stream{{0, admission.Normal, 80, 0.05}, {1, admission.Normal, 40, 0.1}, {2, admission.Normal, 20, 0.3}}, 8},
		{"long and urgent", []stream{{0, admission.Normal, 20, 0.3}, {2, admission.Normal, 80, 0.05}}, 5},
		{"ten ranks", tenRanks(), 50},
		{"ten times the capacity", []stream{{0, admission.Normal, 80, 0.05}, {2, admission.Normal, 40, 0.3}}, 1.6},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			demand, refused, requests, admitted := 0.0, 0.0, 0.0, 0.0
			shares := play(tc.streams, tc.capacity)
			for index, sr := range tc.streams {
				demand += sr.rate * sr.work
				refused += shares[index] * sr.rate * sr.work
				requests += sr.rate
				admitted += (1 - shares[index]) * sr.rate
			}
			// 1.2 times the work that is answered is admitted.
			if want := 1 - 1.2*tc.capacity/demand; math.Abs(refused/demand-want) > 0.05 {
				t.Errorf("%.3f of the work is refused, want %.3f (%.3f)", refused/demand, want, shares)
			}
			for index := range tc.streams {
				if share := 1 - shares[index]; share < 0.3*admitted/requests {
					t.Errorf("stream %d: share admitted %.3f, %.3f of all", index, share, admitted/requests)
				}
				if index > 0 && shares[index] < shares[index-1]-0.01 {
					t.Errorf("refused shares %.3f: a less urgent rank is refused less often", shares)
				}
			}
		})
	}
}

// TestLastAttempts guards against short requests without time for a second attempt that are refused in place of long ones of a less
// urgent rank, and against long or patient requests that are taken for such.
func TestLastAttempts(t *testing.T) {
	t.Parallel()
	const short, long = 0.05, 0.3
	streams := []stream{
		{0, admission.Normal, 40, short}, {0, admission.LastAttempt, 10, short}, {2, admission.Normal, 40, long},
	}
	if shares := play(streams, 3); shares[1] > 0.01 || shares[0] < 0.05 || shares[2] > 0.9 {
		t.Errorf("refused shares: %.3f of urgent requests, %.3f of last attempts, %.3f of long requests", shares[0], shares[1], shares[2])
	}
	th := admission.NewThrottle(nil)
	th.Admit(startTime, 0, admission.Normal, short, 0, 0)
	th.Admit(startTime, 2, admission.Normal, long, 0, 0)
	cases := []struct {
		name       string
		precedence admission.DropPrecedence
		work       float64
		remaining  time.Duration
		want       admission.DropPrecedence
	}{
		{"short, no time", admission.Normal, short, 500 * time.Millisecond, admission.LastAttempt},
		{"long, no time", admission.Normal, long, 500 * time.Millisecond, admission.Normal},
		{"short, time left", admission.Normal, short, 700 * time.Millisecond, admission.Normal},
		{"demoted, no time", admission.Demoted, short, 500 * time.Millisecond, admission.Demoted},
	}
	for _, tc := range cases {
		if got := th.Protect(tc.precedence, tc.work, tc.remaining, 500*time.Millisecond); got != tc.want {
			t.Errorf("%s: precedence %q, want %q", tc.name, got, tc.want)
		}
	}
}
