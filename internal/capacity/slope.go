package capacity

import (
	"runtime"
	"time"
)

// Slope is one quantity at rising sizes.
type Slope struct {
	Quantity string
	Unit     string
	// Against names what Size counts.
	Against string
	Points  []Point
}

// Point is the value at one size.
type Point struct {
	Size  int
	Value float64
}

// Bend returns the value at the largest size as a multiple of that at the smallest, or 0 when the latter is 0.
func (sl Slope) Bend() float64 {
	if len(sl.Points) == 0 || sl.Points[0].Value == 0 {
		return 0
	}
	return sl.Points[len(sl.Points)-1].Value / sl.Points[0].Value
}

// group is a set of slopes that one function measures.
type group struct {
	name    string
	measure func(seed uint64) ([]Slope, error)
}

var groups = []group{
	{"pool", measurePool},
	{"order", measureOrders},
	{"configuration", measureConfiguration},
	{"token", measureTokens},
	{"membership", measureMembership},
}

// Groups returns the names of the groups in the order of measuring.
func Groups() []string {
	names := make([]string, 0, len(groups))
	for _, gr := range groups {
		names = append(names, gr.name)
	}
	return names
}

// Measure returns the slopes of a group; done is false for an unknown one. Random choices come from the seed.
func Measure(name string, seed uint64) (slopes []Slope, known bool, err error) {
	for _, gr := range groups {
		if gr.name == name {
			slopes, err = gr.measure(seed)
			return slopes, true, err
		}
	}
	return nil, false, nil
}

// slope measures one quantity at each size.
func slope(quantity, unit, against string, sizes []int, measure func(size int) float64) Slope {
	points := make([]Point, 0, len(sizes))
	for _, size := range sizes {
		points = append(points, Point{Size: size, Value: measure(size)})
	}
	return Slope{Quantity: quantity, Unit: unit, Against: against, Points: points}
}

// bytesEach returns the heap bytes that build leaves in use, divided by count.
func bytesEach(count int, build func() any) float64 {
	before := heapInUse()
	built := build()
	used := heapInUse() - before
	runtime.KeepAlive(built)
	return used / float64(count)
}

func heapInUse() float64 {
	var stats runtime.MemStats
	// What sync.Pool keeps survives one collection.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// timedPeriod is the least time that a timed loop runs.
const timedPeriod = 300 * time.Millisecond

// microsecondsEach calls step until timedPeriod is over and returns the microseconds of one call.
func microsecondsEach(step func(number int)) float64 {
	const batch = 64
	start := time.Now()
	number := 0
	for time.Since(start) < timedPeriod {
		for range batch {
			step(number)
			number++
		}
	}
	return float64(time.Since(start).Nanoseconds()) / 1000 / float64(number)
}
