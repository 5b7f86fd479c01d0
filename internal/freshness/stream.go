package freshness

import "time"

// Stream is a stream of the store that hosts read for each other.
type Stream int

// The streams.
const (
	Configuration Stream = iota
	Targets
	streamCount
)

// String returns the name of the stream in logs and metrics.
func (sm Stream) String() string { return [streamCount]string{"Configuration", "Targets"}[sm] }

// maxAges are the ages from which on a host reads a stream itself.
//
// A change must be in force 2 s after the store acknowledged it. A host finds that a stream is too old within 0.1 s, and reads
// it in 0.1 to 0.4 s, as a large configuration takes 0.4 s on a link of 10 Mbit/s. On the other hand a copy is as old as the
// interval between two reads of the relay, 0.75 s for the configuration and 0.7 s for the targets, plus 0.15 s between two beacons and
// 0.15 s to fetch changed targets; the rest allows for a beacon that is lost. The configuration has the lower limit, since a
// read that waits may miss a record until its end, 0.75 s later.
var maxAges = [streamCount]time.Duration{
	Configuration: 1050 * time.Millisecond,
	Targets:       1400 * time.Millisecond,
}
