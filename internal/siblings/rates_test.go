package siblings

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// TestRates guards against limits and counts that other hosts read as different ones, and against long or broken messages.
func TestRates(t *testing.T) {
	t.Parallel()
	rates := []chestnutroad.TargetRate{
		{Target: 1, Limit: 0.05, Age: 2 * time.Second, Sent: 0.5, Wanted: [chestnutroad.RateClasses]float64{1, 0, 2.25, 300}},
		{Target: math.MaxUint32, Limit: 7.2, Age: time.Minute, Sent: 30},
		{Target: 3, Age: 40 * time.Millisecond},
		{Target: 4, Limit: 90000, Sent: 100000},
	}
	data := encodeRates(rates)
	if size := len(data) / len(rates); size > 16 {
		t.Errorf("a rate takes %d bytes, want at most 16", size)
	}
	read := decodeRates(data)
	if len(read) != len(rates) {
		t.Fatalf("got %d rates, want %d", len(read), len(rates))
	}
	for index, want := range rates {
		got := read[index]
		if deviation := math.Abs(float64(got.Limit - want.Limit)); deviation > 0.01*float64(want.Limit) {
			t.Errorf("got a limit of %g, want %g", got.Limit, want.Limit)
		}
		got.Limit = want.Limit
		if got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	for size := range data {
		if got := decodeRates(data[:size]); len(got) >= len(rates) {
			t.Errorf("got %d rates from %d of %d bytes", len(got), size, len(data))
		}
	}
	huge := slices.Concat(data[:4], []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	if got := decodeRates(huge); len(got) > 0 {
		t.Errorf("got %+v from a limit out of range", got)
	}
}
