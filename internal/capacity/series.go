package capacity

import (
	"runtime"
	"time"
)

// Series holds the values of one quantity at increasing sizes.
type Series struct {
	Quantity string
	Unit     string
	// Against names what Point.Size counts, such as hosts or teams.
	Against string
	Points  []Point
}

// Point is the value of a quantity at one size.
type Point struct {
	Size  int
	Value float64
}

// GrowthRatio returns the last value divided by the first, or 0 when there are no points or the first value is 0.
func (sr Series) GrowthRatio() float64 {
	if len(sr.Points) == 0 || sr.Points[0].Value == 0 {
		return 0
	}
	return sr.Points[len(sr.Points)-1].Value / sr.Points[0].Value
}

// group is a set of series that one function measures.
type group struct {
	name    string
	measure func(seed uint64) ([]Series, error)
}

var groups = []group{
	{"pool", measurePool},
	{"order", measureOrders},
	{"configuration", measureConfiguration},
	{"token", measureTokens},
	{"membership", measureMembership},
}

// Groups returns the names of the groups in the order in which they are measured by default.
func Groups() []string {
	names := make([]string, 0, len(groups))
	for _, gr := range groups {
		names = append(names, gr.name)
	}
	return names
}

// Measure measures the series of the named group with the seed for all random choices. found is false when there is no such
// group.
func Measure(name string, seed uint64) (series []Series, found bool, err error) {
	for _, gr := range groups {
		if gr.name == name {
			series, err = gr.measure(seed)
			return series, true, err
		}
	}
	return nil, false, nil
}

// measureSeries calls measure for each size and returns the results as a series.
func measureSeries(quantity, unit, against string, sizes []int, measure func(size int) float64) Series {
	points := make([]Point, 0, len(sizes))
	for _, size := range sizes {
		points = append(points, Point{Size: size, Value: measure(size)})
	}
	return Series{Quantity: quantity, Unit: unit, Against: against, Points: points}
}

// heapBytesPerItem returns the heap bytes that the result of build keeps in use, divided by count.
func heapBytesPerItem(count int, build func() any) float64 {
	before := heapInUse()
	built := build()
	used := heapInUse() - before
	runtime.KeepAlive(built)
	return used / float64(count)
}

func heapInUse() float64 {
	var stats runtime.MemStats
	// Objects in a sync.Pool survive the first collection.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// minTimedPeriod is the minimum duration of a timed loop.
const minTimedPeriod = 300 * time.Millisecond

// microsecondsPerCall calls step with increasing numbers for at least minTimedPeriod and returns the mean microseconds of a
// call.
func microsecondsPerCall(step func(number int)) float64 {
	const batch = 64
	start := time.Now()
	number := 0
	for time.Since(start) < minTimedPeriod {
		for range batch {
			step(number)
			number++
		}
	}
	return float64(time.Since(start).Nanoseconds()) / 1000 / float64(number)
}
