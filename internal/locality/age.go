package locality

import "time"

const (
	// freshAge is the age up to which counts have their full weight: they are 0.2 to 0.4 s old, and one message may be lost.
	freshAge = 600 * time.Millisecond
	// maxAge is the age from which counts have none. Other sums of hosts also hold for 2 s.
	maxAge = 2 * time.Second
)

// remoteWeight returns the weight of the counts of the remote side by their age, from 1 to 0. A negative age is not plausible and has no
// weight.
func (bl *Balancer) remoteWeight(now time.Time) float64 {
	if bl.observedAt.IsZero() || bl.counts.RemoteAge < 0 {
		return 0
	}
	age := bl.counts.RemoteAge + max(0, now.Sub(bl.observedAt))
	return min(1, max(0, (maxAge-age).Seconds()/(maxAge-freshAge).Seconds()))
}
