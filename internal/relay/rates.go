package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// maxRates bounds the targets with limits in a report or an exchange, and maxBeaconRates those in a beacon, which goes to all
	// hosts of a data centre: 48 take about 0.9 KB. With more targets the messages take turns, so that with 100 limited targets each
	// one is told every 0.45 s.
	maxRates       = 192
	maxBeaconRates = 48
	// rateTTL is how long a rate is used; with 600 limited targets each one is told every 1.9 s.
	rateTTL = 2 * time.Second
)

// receivedRate is a rate with the time at which it arrived.
type receivedRate struct {
	chestnutroad.TargetRate
	at time.Time
}

// rateTable holds the latest rate of each target that a host told of. A rate is used for rateTTL.
type rateTable map[chestnutroad.TargetHash]receivedRate

// update records rates and drops those that are too old.
func (rt rateTable) update(now time.Time, rates []chestnutroad.TargetRate) {
	for _, rate := range rates {
		rt[rate.Target] = receivedRate{TargetRate: rate, at: now}
	}
	for hash, held := range rt {
		if now.Sub(held.at) >= rateTTL {
			delete(rt, hash)
		}
	}
}

// add adds the rates of another table to the sums. The latest statement of a limit counts.
func (rt rateTable) add(now time.Time, other rateTable) {
	for hash, rate := range other {
		if now.Sub(rate.at) >= rateTTL {
			continue
		}
		rate.Age += now.Sub(rate.at)
		rate.at = now
		if sum, exists := rt[hash]; exists {
			rate.Sent += sum.Sent
			for class := range rate.Wanted {
				rate.Wanted[class] += sum.Wanted[class]
			}
			if sum.Age < rate.Age {
				rate.Age, rate.Limit = sum.Age, sum.Limit
			}
		}
		rt[hash] = rate
	}
}

// without returns the rates, less those of the host's own that they include, with their present age and sorted by target.
func (rt rateTable) without(now time.Time, own rateTable) []chestnutroad.TargetRate {
	rates := make([]chestnutroad.TargetRate, 0, len(rt))
	for hash, rate := range rt {
		if now.Sub(rate.at) >= rateTTL {
			continue
		}
		rate.Age += now.Sub(rate.at)
		if held, exists := own[hash]; exists {
			rate.Sent = max(0, rate.Sent-held.Sent)
			for class := range rate.Wanted {
				rate.Wanted[class] = max(0, rate.Wanted[class]-held.Wanted[class])
			}
		}
		rates = append(rates, rate.TargetRate)
	}
	slices.SortFunc(rates, func(a, b chestnutroad.TargetRate) int { return cmp.Compare(a.Target, b.Target) })
	return rates
}

// rotation returns up to limit rates, other ones at each turn if there are more.
func rotation(rates []chestnutroad.TargetRate, limit, turn int) []chestnutroad.TargetRate {
	if len(rates) <= limit {
		return rates
	}
	first := turn * limit % len(rates)
	return slices.Concat(rates[first:], rates[:first])[:limit]
}

// PeerRates returns the sums of the rates of all other hosts, or false when no total is recent.
func (nd *Node) PeerRates(now time.Time) ([]chestnutroad.TargetRate, bool) {
	if nd.total == nil || now.Sub(nd.totalAt) >= messageTTL {
		return nil, false
	}
	return nd.totalRates.without(now, nd.ownRates), true
}
