package locality

import (
	"math"
	"time"
)

// Share is a share of requests, from 0 to 1.
type Share float64

const (
	// usualLimit is the load ratio up to which local targets serve the callers of their data centre. At 12 slots it is 8.4 requests,
	// a little more than a standard deviation of a random number of requests (2.9) below the slots.
	usualLimit = 0.7
	// balanceMargin is the least excess of the local load ratio over the remote one that is tolerated, so that two data centres
	// with equal load don't exchange requests. With little room it is the standard deviation of the number of requests.
	balanceMargin = 0.05
	// startExcess is the excess over the limit from which a share of zero starts to grow, and shareStep the smallest change
	// of the share: random changes of the counts are smaller.
	startExcess = 0.05
	shareStep   = 0.02
	// noiseBand is the hysteresis of the loop in standard deviations of the load ratio: within it, the integral term doesn't change.
	noiseBand = 0.5
	// smoothing is the time constant of the smoothed load ratios; it is of the order of the age of counts.
	smoothing = 500 * time.Millisecond
	// proportionalGain and integralTime set how fast the share follows the excess. A change of the share shows in the counts after
	// their age (0.4 s), the smoothing (0.5 s) and the duration of a request; with these values the loop has a computed phase margin of
	// about 60 degrees at a demand of 1.5 times the room and requests of 0.3 s to 1 s. The integral time is that of a request
	// if it is longer: with 1 s, a share oscillated by 0.26 with requests of 1.5 s, in place of 0.04.
	proportionalGain = 0.7
	integralTime     = time.Second
	// maxIntegralTime limits the durations that callers of the package state.
	maxIntegralTime = 10 * time.Second
	// maxStep limits the elapsed time that one message accounts for, after a pause of the host.
	maxStep = 500 * time.Millisecond
	// targetLoss is the share of local targets that end between two messages from which the share is set at once.
	targetLoss = 0.1
	// maxExcess limits the excess of an overloaded side in the loop.
	maxExcess = 1.0
	// notableChange is the change of the share since the last report that is reported.
	notableChange = 0.1
	// minStay is the smallest share that the undamped rule keeps local, so that it can grow again.
	minStay = 0.02
)

// Counts are the inputs of one message of counts.
type Counts struct {
	Local, Remote Side
	// RemoteAge is the age of the counts of the remote side.
	RemoteAge time.Duration
	// RoundTrip is that to the other data centres, Duration the mean duration of a request of the service; zero when unknown.
	RoundTrip, Duration time.Duration
}

// Report states the share after a message of counts, and what it follows from.
type Report struct {
	Share Share
	// Notable is true when the share changed by more than a tenth since the last notable report.
	Notable bool
	// Local and Remote are the load ratios, Limit the local ratio above which requests leave, Weight that of the remote counts.
	Local, Remote, Limit Ratio
	Weight               float64
}

// Balancer decides for one service which requests leave. It isn't safe for concurrent use.
type Balancer struct {
	undamped  bool
	bytePrice time.Duration
	memory    time.Duration

	counts     Counts
	observedAt time.Time
	// local and remote are the smoothed load ratios.
	local, remote Ratio
	// integral is the integral term of the loop, share its output.
	integral float64
	share    Share
	reported Share
	costs    costs
}

// Option configures a Balancer.
type Option func(bl *Balancer)

// WithoutDamping sets the share with each message to what its counts require. It is the baseline for the simulation.
func WithoutDamping() Option {
	return func(bl *Balancer) { bl.undamped = true }
}

// WithBytePrice sets the time that a MiB of traffic between data centres is worth; the default is none.
func WithBytePrice(perMiB time.Duration) Option {
	return func(bl *Balancer) { bl.bytePrice = max(0, perMiB) }
}

// WithPartMemory sets how long a prompt part stays cached after its last use; zero keeps the default.
func WithPartMemory(memory time.Duration) Option {
	return func(bl *Balancer) {
		if memory > 0 {
			bl.memory = memory
		}
	}
}

// New returns a balancer with share zero.
func New(options ...Option) *Balancer {
	bl := &Balancer{memory: defaultPartMemory, costs: newCosts()}
	for _, option := range options {
		option(bl)
	}
	return bl
}

// Share returns the share of requests that leave because of the load.
func (bl *Balancer) Share(now time.Time) Share {
	if !bl.counts.Remote.usable() {
		return 0
	}
	if !bl.counts.Local.usable() {
		return 1
	}
	return bl.share * Share(bl.remoteWeight(now))
}

// Observe updates the share by a message of counts.
func (bl *Balancer) Observe(now time.Time, counts Counts) Report {
	first := bl.observedAt.IsZero()
	elapsed := min(maxStep, max(0, now.Sub(bl.observedAt)))
	previous := bl.counts
	bl.counts = counts
	if first || now.After(bl.observedAt) {
		bl.observedAt = now
	}
	bl.smooth(elapsed, first)
	switch {
	case !counts.Local.usable():
		bl.integral, bl.share = 1, 1
	case bl.undamped:
		bl.correct()
	case bl.remoteWeight(now) == 1 && counts.Remote.usable():
		if !first && float64(counts.Local.Targets) <= (1-targetLoss)*float64(previous.Local.Targets) {
			bl.replaceLost(previous.Local)
		}
		bl.adjust(elapsed)
	}
	return bl.report(now)
}

// smooth updates the smoothed load ratios. A side without room has none.
func (bl *Balancer) smooth(elapsed time.Duration, first bool) {
	weight := 1 - math.Exp(-elapsed.Seconds()/smoothing.Seconds())
	if first || bl.undamped {
		weight = 1
	}
	if bl.counts.Local.usable() {
		bl.local += Ratio(weight) * (min(bl.counts.Local.Ratio(), 1+maxExcess) - bl.local)
	}
	if bl.counts.Remote.usable() {
		bl.remote += Ratio(weight) * (min(bl.counts.Remote.Ratio(), 1+maxExcess) - bl.remote)
	}
}

// deviation returns the standard deviation of the local load ratio at random arrivals, with as many requests as room.
func (bl *Balancer) deviation() float64 {
	if !bl.counts.Local.usable() {
		return 0
	}
	return 1 / math.Sqrt(float64(bl.counts.Local.Room))
}

// withoutNoise returns by how much the excess is outside the band around zero.
func withoutNoise(excess, band float64) float64 {
	if excess < 0 {
		return min(0, excess+band)
	}
	return max(0, excess-band)
}

// limit returns the local load ratio above which requests leave.
func (bl *Balancer) limit() Ratio {
	handicap := max(balanceMargin, Ratio(bl.deviation()))
	if bl.counts.Duration > 0 {
		handicap += Ratio(min(1, max(0, bl.counts.RoundTrip).Seconds()/bl.counts.Duration.Seconds()))
	}
	return max(usualLimit, bl.remote+handicap)
}

// adjust moves the share by the excess of the local load ratio over the limit.
func (bl *Balancer) adjust(elapsed time.Duration) {
	excess := withoutNoise(min(maxExcess, float64(bl.local-bl.limit())), noiseBand*bl.deviation())
	if bl.share == 0 && bl.integral == 0 && excess < startExcess {
		return
	}
	reset := min(maxIntegralTime, max(integralTime, bl.counts.Duration))
	bl.integral = min(1, max(0, bl.integral+proportionalGain*excess*elapsed.Seconds()/reset.Seconds()))
	wanted := Share(min(1, max(0, bl.integral+proportionalGain*excess)))
	if math.Abs(float64(wanted-bl.share)) >= shareStep || wanted == 0 || wanted == 1 {
		bl.share = wanted
	}
}

// replaceLost raises the share to what the requests that stayed before some local targets ended require of the rest.
func (bl *Balancer) replaceLost(previous Side) {
	load := float64(bl.local) * float64(previous.Room)
	if load <= 0 {
		return
	}
	stay := (1 - float64(bl.share)) * float64(bl.limit()) * float64(bl.counts.Local.Room) / load
	if wanted := 1 - stay; wanted > float64(bl.share) {
		bl.integral, bl.share = wanted, Share(wanted)
		// The smoothed ratio would count the requests of the lost targets once more.
		bl.local = bl.limit()
	}
}

// correct sets the share to what would bring the newest local load ratio to the limit.
func (bl *Balancer) correct() {
	if bl.local <= 0 {
		bl.share = 0
		return
	}
	stay := max(minStay, 1-float64(bl.share)) * float64(bl.limit()/bl.local)
	bl.share = Share(min(1, max(0, 1-stay)))
}

func (bl *Balancer) report(now time.Time) Report {
	rep := Report{
		Share: bl.Share(now), Local: bl.local, Remote: bl.remote, Limit: bl.limit(), Weight: bl.remoteWeight(now),
	}
	if math.Abs(float64(rep.Share-bl.reported)) > notableChange {
		rep.Notable = true
		bl.reported = rep.Share
	}
	return rep
}
