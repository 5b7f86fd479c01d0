package ratelimit

import (
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// sentTime is the time constant with which the requests sent to a target decay; targets count theirs over 4 s. With a limit below
	// one request in that time it is the time that the limit allows for one, up to maxSentTime.
	sentTime    = 4 * time.Second
	maxSentTime = time.Minute
	// demandTime is the time constant with which the demand decays, in which counts of other hosts are less than half as old.
	demandTime = time.Second
	// minObservedTime is the time since the start of a limit from which on the demand is extrapolated from the counts.
	minObservedTime = 200 * time.Millisecond
	// correctionTime is the time in which a deviation of the requests sent from the limit is corrected. It is longer than the age of
	// the counts of other hosts; with a shorter one the rate would oscillate.
	correctionTime = 2 * time.Second
	// maxRateShare and extraRate bound the rate after a time without requests: a multiple of the limit, and requests a second beside
	// it. Targets tolerate one and a half times their limit and five requests in 4 s.
	maxRateShare = 1.05
	extraRate    = 0.5
	// shareStateTime is how long after a limit was first stated the demand of other hosts is unknown: they learn of the limit first.
	shareStateTime = time.Second
	// peerTTL is how long the sums of other hosts are used.
	peerTTL = 3 * time.Second
	// statementTTL is how long other hosts are told of a statement that this host received.
	statementTTL = 5 * time.Second
	// unstatedTTL is how long a limit is remembered without an answer of its target, which may be gone.
	unstatedTTL = 10 * time.Minute
)

// target is the state of a target that states, or has lately stated, a limit.
type target struct {
	// incarnation is that of the target whose answers stated the limit; zero when only other hosts received them.
	incarnation chestnutroad.Incarnation
	// limit is the limit that the target stated, and cold that of a cold target; zero stands for none.
	limit, cold chestnutroad.RequestRate
	// ignoreStated is true when limit is not enforced.
	ignoreStated bool
	// statedAt is when the latest answer was received, by any host, that stated the limit or its end; startedAt is when the limit was
	// first stated.
	statedAt, startedAt time.Time
	// before is the number of requests that are assumed to have been sent in the time before startedAt, which no host counted.
	before float64
	// known is true when the limit had been in force at other hosts for some time before this host learned of it.
	known bool
	// ownStatementAt is when this host last received a statement that changed the limit.
	ownStatementAt time.Time
	sent           counter
	wanted         [chestnutroad.RateClasses]counter
	// peers is the sum of the other hosts as of peersAt; the zero time means that it is not known.
	peers   chestnutroad.TargetRate
	peersAt time.Time
}

// sentTime returns the time constant for the requests sent to the target.
func (tg *target) sentTime() time.Duration {
	limit := tg.effective()
	if limit <= 0 {
		return sentTime
	}
	interval := time.Duration(float64(time.Second) / float64(limit))
	return min(maxSentTime, max(sentTime, interval))
}

// sums returns the requests sent to the target and the demand for it, of all hosts. While nothing is known of other hosts they count
// like this one.
func (tg *target) sums(now time.Time, hosts int) (sent float64, wanted [chestnutroad.RateClasses]float64) {
	sent = tg.sent.valueAt(now, tg.sentTime())
	others, peerSent := float64(hosts-1), tg.peers.Sent
	peersKnown := now.Sub(tg.peersAt) < peerTTL
	if !peersKnown {
		peerSent = sent * others
	}
	for class := range wanted {
		own := tg.wanted[class].valueAt(now, demandTime)
		peers := tg.peers.Wanted[class]
		if !peersKnown {
			peers = own * others
		} else if tg.surging(now) {
			peers = max(peers, own*others)
		}
		wanted[class] = (own + peers) / tg.observedShare(now)
	}
	return tg.sentBefore(now) + sent + peerSent, wanted
}

// start starts a limit. The requests before it, which were not counted, are taken to have been as many as the limit allows, so that
// the target neither stands idle nor gets a burst at first.
func (tg *target) start(now time.Time) {
	*tg = target{
		limit: tg.limit, cold: tg.cold, ignoreStated: tg.ignoreStated, statedAt: tg.statedAt, startedAt: now, incarnation: tg.incarnation,
	}
	tg.before = float64(tg.effective()) * tg.sentTime().Seconds()
}

// setPeers records the sums of the other hosts. The first ones tell whether the limit started long before this host learned of it,
// as for a host that has just started.
func (tg *target) setPeers(now time.Time, rate chestnutroad.TargetRate) {
	if tg.peersAt.IsZero() {
		tg.known = rate.Sent >= tg.before/2
		tg.before = max(0, tg.before-rate.Sent)
	}
	tg.peers, tg.peersAt = rate, now
}

// sentBefore returns what is left of the requests before the limit started.
func (tg *target) sentBefore(now time.Time) float64 {
	before := counter{value: tg.before, updatedAt: tg.startedAt}
	return before.valueAt(now, tg.sentTime())
}

// observedShare returns the share of the present demand that the counts show: they start at zero with the limit.
func (tg *target) observedShare(now time.Time) float64 {
	if tg.known {
		return 1
	}
	return 1 - math.Exp(-max(minObservedTime, now.Sub(tg.startedAt)).Seconds()/demandTime.Seconds())
}

// rate returns the requests a second that all hosts together are to send to the target now.
func (tg *target) rate(sent float64) float64 {
	limit := float64(tg.effective())
	goal := limit * (tg.sentTime() + correctionTime).Seconds()
	rate := (goal - sent) / correctionTime.Seconds()
	return min(max(0, rate), maxRateShare*limit+extraRate)
}

// share returns the share of the requests of a class that is admitted: the rate is given to the most urgent classes first.
func share(rate float64, wanted [chestnutroad.RateClasses]float64, class Class) float64 {
	for _, count := range wanted[:class] {
		rate -= min(rate, count/demandTime.Seconds())
	}
	return min(1, rate/max(1, wanted[class]/demandTime.Seconds()))
}
