package ratelimit

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// coldAge is the age with which a rate without a limit is sent for a cold target, less the remaining time. It is beyond the ages of
// statements, so that both can be told apart, and the smallest age, which relays keep, is the longest remaining time.
const (
	coldAge      = 2 * time.Hour
	maxColdValue = time.Hour
)

// effective returns the limit in force, the lower one if there are two; zero when there is none.
func (tg *target) effective() chestnutroad.RequestRate {
	switch {
	case tg.limit <= 0 || tg.ignoreStated:
		return tg.cold
	case tg.cold <= 0:
		return tg.limit
	default:
		return min(tg.cold, tg.limit)
	}
}

// IgnoreStated sets whether the limits that targets state are ignored.
func (lm *Limiter) IgnoreStated(ignore bool) {
	lm.ignoreStated = ignore
	for _, tg := range lm.targets {
		tg.ignoreStated = ignore
	}
}

// SetCold sets the limit of a cold target; zero ends it.
func (lm *Limiter) SetCold(now time.Time, hash chestnutroad.TargetHash, limit chestnutroad.RequestRate) {
	tg := lm.targets[hash]
	if tg == nil {
		if limit <= 0 {
			return
		}
		tg = &target{ignoreStated: lm.ignoreStated}
		lm.targets[hash] = tg
	}
	limited := tg.effective() > 0
	tg.cold = max(0, limit)
	if !limited && tg.cold > 0 {
		tg.start(now)
	}
}

// surgeTime is the time after the start of the limit of a cold target in which the demand of the other hosts, as they told it, may still
// be from before: all hosts turn to the target within the age of their messages. Without this, targets of a data centre that returned
// at 130 hosts got 19 requests in the first second, and 18 are allowed.
const surgeTime = 600 * time.Millisecond

// surging reports whether the demand for a cold target may be rising faster than other hosts can tell.
func (tg *target) surging(now time.Time) bool {
	return tg.cold > 0 && now.Sub(tg.startedAt) < surgeTime
}

// RestartCold restarts the limit of a cold target that requests reach again, since the demand before was that of probes.
func (lm *Limiter) RestartCold(now time.Time, hash chestnutroad.TargetHash) {
	if tg := lm.targets[hash]; tg != nil && tg.cold > 0 {
		tg.start(now)
	}
}

// Restricted reports whether the target has a limit that it stated or is cold.
func (lm *Limiter) Restricted(hash chestnutroad.TargetHash) bool {
	tg := lm.targets[hash]
	return tg != nil && tg.effective() > 0
}

// AnyRestricted reports whether a target has a limit that it stated or is cold.
func (lm *Limiter) AnyRestricted() bool {
	for _, tg := range lm.targets {
		if tg.effective() > 0 {
			return true
		}
	}
	return false
}

// WithCold returns the rate with the time for which its target is cold, unless it holds the statement of a limit.
func WithCold(rate chestnutroad.TargetRate, remaining time.Duration) chestnutroad.TargetRate {
	if rate.Limit <= 0 && remaining > 0 {
		rate.Age = coldAge - min(remaining, maxColdValue)
	}
	return rate
}

// ColdRemaining returns the time for which a received rate states that its target is cold; zero when it doesn't.
func ColdRemaining(rate *chestnutroad.TargetRate) time.Duration {
	if rate.Limit > 0 || rate.Age < coldAge-maxColdValue {
		return 0
	}
	return max(0, coldAge-rate.Age)
}
