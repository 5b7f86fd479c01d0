package placement

import (
	"slices"
	"strconv"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/ratelimit"
)

// maxLimitTrials is the number of targets at their limits that a request tries in the order of the policy. Beyond it the other
// targets are asked at once, since the order costs a pass over all targets for each.
const maxLimitTrials = 12

// chooseWithinLimits selects a target with the policy and passes over those that get as many requests a second as they take. It
// returns false when all do.
func (pl *Pool) chooseWithinLimits(
	now time.Time, targets []*target, req *Request, policy func([]*target, *limits) Choice, lim *limits,
) (Choice, bool) {
	costly := pl.hasCostlyPart(req)
	pl.refreshCold(now)
	if !pl.limiter.AnyRestricted() {
		return policy(targets, lim), true
	}
	classes := pl.classes(targets, req, costly)
	remaining, cold := slices.Clone(targets), 0
	for trial := range min(maxLimitTrials, len(targets)) {
		choice := policy(remaining, lim)
		chosen := pl.targets[choice.Entry.ID]
		choice.Limit, choice.LimitsReached, choice.ColdSkipped = pl.admitAt(now, chosen, req, classes(trial == 0)), trial, cold
		if choice.Limit.Admitted {
			return choice, true
		}
		if now.Before(chosen.coldUntil) {
			cold++
		}
		remaining = slices.DeleteFunc(remaining, func(tg *target) bool { return tg == chosen })
	}
	remaining = slices.DeleteFunc(remaining, func(tg *target) bool {
		full := !pl.admitAt(now, tg, req, classes(false)).Admitted
		if full && now.Before(tg.coldUntil) {
			cold++
		}
		return full
	})
	reached := len(targets) - len(remaining)
	if len(remaining) == 0 {
		return Choice{Limited: true, LimitsReached: reached, ColdSkipped: cold}, false
	}
	choice := policy(remaining, lim)
	choice.LimitsReached, choice.ColdSkipped = reached, cold
	return choice, true
}

// classes returns the function from whether a target is the preferred one to the request's class there.
func (pl *Pool) classes(targets []*target, req *Request, costly bool) func(preferred bool) ratelimit.Class {
	spare := slices.ContainsFunc(targets, func(tg *target) bool { return !pl.limited(tg) })
	return func(preferred bool) ratelimit.Class {
		if spare {
			return ratelimit.ClassByCost(costly, preferred)
		}
		return ratelimit.ClassByRank(req.Rank, preferred)
	}
}

// sharedTokensWeight is the weight of a request in the moving average of the shared tokens of a service's requests.
const sharedTokensWeight = 1.0 / 64

// limited reports whether the target has a limit of requests a second, its own or that of a cold target.
func (pl *Pool) limited(tg *target) bool {
	return pl.limiter.Restricted(tg.shortHash())
}

// hasCostlyPart reports whether the request's shared parts take longer to read again than those of the service's average request,
// which it updates.
func (pl *Pool) hasCostlyPart(req *Request) bool {
	mean := pl.sharedTokens[req.Service]
	tokens := float64(req.SharedTokens)
	pl.sharedTokens[req.Service] = mean + sharedTokensWeight*(tokens-mean)
	return tokens > mean
}

// admitAt asks whether a target takes the request within its limit.
func (pl *Pool) admitAt(now time.Time, tg *target, req *Request, class ratelimit.Class) ratelimit.Decision {
	id := req.ID
	if id == "" {
		// Requests without an id would all have the same draw.
		pl.unnamed++
		id = chestnutroad.RequestID(strconv.FormatUint(pl.unnamed, 10))
	}
	draw := hashFraction(id, "limit/"+tg.entry.ID)
	if req.Affinity != "" {
		draw = ratelimit.PartDraw(hashFraction(chestnutroad.RequestID(req.Affinity), tg.entry.ID), draw)
	}
	return pl.limiter.Admit(now, tg.shortHash(), class, draw)
}

// CountSent counts a request that is sent to a target against its limit.
func (pl *Pool) CountSent(now time.Time, id chestnutroad.TargetID) {
	if tg := pl.targets[id]; tg != nil {
		pl.limiter.CountSent(now, tg.shortHash())
	}
}

// ObserveLimit records what an answer of a target states about its limit, and returns how the limit changed. Statements of an
// incarnation that is not registered are ignored.
func (pl *Pool) ObserveLimit(now time.Time, entry *chestnutroad.TargetEntry, statement ratelimit.Statement) ratelimit.Change {
	tg := pl.targets[entry.ID]
	if tg == nil || !tg.entry.SameIncarnation(entry) {
		return ratelimit.Change{}
	}
	return pl.limiter.Observe(now, tg.shortHash(), entry.Incarnation, statement)
}

// SetHostCount sets the number of hosts that share the limits of targets.
func (pl *Pool) SetHostCount(count int) { pl.limiter.SetHostCount(count) }

// TakeRates returns this host's requests for targets with limits, for other hosts.
func (pl *Pool) TakeRates(now time.Time) []chestnutroad.TargetRate {
	pl.updateCold(now)
	return pl.withCold(now, pl.limiter.Take(now))
}

// LimitChange is the change of a target's limit that another host reported.
type LimitChange struct {
	Entry chestnutroad.TargetEntry
	ratelimit.Change
}

// MergeRates records the requests of all other hosts for targets with limits, and returns the limits that changed. Those of targets
// that are not registered are ignored.
func (pl *Pool) MergeRates(now time.Time, rates []chestnutroad.TargetRate) []LimitChange {
	var registered map[chestnutroad.TargetHash]*target
	if len(rates) > 0 {
		registered = make(map[chestnutroad.TargetHash]*target, len(pl.targets))
		for _, tg := range pl.targets {
			registered[tg.shortHash()] = tg
		}
	}
	known := slices.DeleteFunc(slices.Clone(rates), func(rate chestnutroad.TargetRate) bool { return registered[rate.Target] == nil })
	for _, rate := range known {
		pl.mergeCold(now, registered[rate.Target], &rate)
	}
	merges := pl.limiter.Merge(now, known)
	changes := make([]LimitChange, 0, len(merges))
	for _, merged := range merges {
		changes = append(changes, LimitChange{Entry: registered[merged.Target].entry, Change: merged.Change})
	}
	return changes
}

// LimitedCount returns the number of targets with a limit.
func (pl *Pool) LimitedCount() int { return pl.limiter.Limited() }
