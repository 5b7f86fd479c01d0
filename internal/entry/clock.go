package entry

import "time"

// newElapsedClock returns a clock that counts from now by the readings of a clock of the system. The monotonic clock takes the
// place of one that can't be read, but stands still while the host is suspended. Later readings are never zero, which stands for
// never in the times that an Entry holds.
func newElapsedClock(read func() (time.Duration, error)) func() time.Duration {
	started := time.Now()
	first, err := read()
	if err != nil {
		return func() time.Duration { return time.Since(started) }
	}
	return func() time.Duration {
		reading, err := read()
		if err != nil {
			return time.Since(started)
		}
		return reading - first
	}
}
