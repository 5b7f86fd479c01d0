package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// minCount is the count from which on others are told of a target again and again.
const minCount = 0.05

// Take returns what other hosts are to be told of targets with limits, sorted by target: counts, and statements of the last
// statementTTL.
func (lm *Limiter) Take(now time.Time) []chestnutroad.TargetRate {
	var rates []chestnutroad.TargetRate
	for hash, tg := range lm.targets {
		age := now.Sub(tg.statedAt)
		if tg.cold <= 0 && (tg.limit <= 0 && age >= statementTTL || age >= unstatedTTL) {
			delete(lm.targets, hash)
			continue
		}
		rate := chestnutroad.TargetRate{
			Target: hash, Limit: tg.limit, Age: min(age, unstatedTTL), Sent: tg.sent.valueAt(now, tg.sentTime()),
		}
		total := rate.Sent
		for class := range rate.Wanted {
			rate.Wanted[class] = tg.wanted[class].valueAt(now, demandTime)
			total += rate.Wanted[class]
		}
		if total >= minCount || now.Sub(tg.ownStatementAt) < statementTTL {
			rates = append(rates, rate)
		}
	}
	slices.SortFunc(rates, func(a, b chestnutroad.TargetRate) int { return cmp.Compare(a.Target, b.Target) })
	return rates
}

// MergedChange is a change of a limit that another host reported.
type MergedChange struct {
	Target chestnutroad.TargetHash
	Change
}

// Merge records the sums of all other hosts for the targets of which they told something, and returns the limits that changed by
// their statements.
func (lm *Limiter) Merge(now time.Time, rates []chestnutroad.TargetRate) []MergedChange {
	var changes []MergedChange
	listed := make(map[chestnutroad.TargetHash]bool, len(rates))
	for _, rate := range rates {
		listed[rate.Target] = true
		if change := lm.state(now, now.Add(-rate.Age), rate.Target, rate.Limit); change.Changed {
			changes = append(changes, MergedChange{Target: rate.Target, Change: change})
		}
		if tg := lm.targets[rate.Target]; tg != nil {
			tg.setPeers(now, rate)
		}
	}
	for hash, tg := range lm.targets {
		if !listed[hash] && now.Sub(tg.startedAt) >= shareStateTime {
			tg.setPeers(now, chestnutroad.TargetRate{})
		}
	}
	return changes
}
