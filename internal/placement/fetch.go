package placement

import (
	"net/netip"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/kvfetch"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

// FetchReason says why the chosen target probably lacks a part that another target has.
type FetchReason string

// The reasons.
const (
	// FetchDraining means that the source leaves.
	FetchDraining FetchReason = "Draining"
	// FetchRetry means that the request was sent to another target before.
	FetchRetry FetchReason = "Retry"
	// FetchJoined means that the chosen target joined a short time ago.
	FetchJoined FetchReason = "Joined"
	// FetchOverflow means that the part is in use at another target, which was passed over.
	FetchOverflow FetchReason = "Overflow"
	// FetchMoved means that the part moved to the chosen target.
	FetchMoved FetchReason = "Moved"
	// FetchHome means that the chosen target is the first by hash for the last shared part, and only an earlier part is fetched, in
	// case the last one is new.
	FetchHome FetchReason = "Home"
)

// FetchReasons lists the reasons, which are label values of a metric.
var FetchReasons = []FetchReason{FetchDraining, FetchRetry, FetchJoined, FetchOverflow, FetchMoved, FetchHome}

// Fetch is the source from which the chosen target should fetch a part of the request's prompt; its Target is empty when there is
// none.
type Fetch struct {
	Target  chestnutroad.TargetID
	Address netip.AddrPort
	Reason  FetchReason
	kvfetch.Decision
}

// fetchSpreadHeadroom takes the place of spreadHeadroom where parts can be fetched: another target of a popular part costs a transfer
// in place of a prefill. On 140 simulated targets, 0.0173 of the requests went over the load bound with it, 0.0266 with
// spreadHeadroom (TestFetchesReplacePrefills).
const fetchSpreadHeadroom = 0.4

// spreadShare returns the share of the headroom that a popular part may use at each of its targets.
func (pl *Pool) spreadShare(req *Request) float64 {
	if pl.fetches(req) {
		return fetchSpreadHeadroom
	}
	return spreadHeadroom
}

// fetchSource returns the source for a request at the chosen target. The longest shared part that another target has comes first.
func (pl *Pool) fetchSource(now time.Time, req *Request, chosen, sticky *target) Fetch {
	if !pl.fetches(req) {
		return Fetch{}
	}
	tokens := chestnutroad.Tokens(0)
	for _, part := range req.SharedParts {
		tokens += part.Tokens
	}
	home := pl.isHome(now, req, chosen)
	for index := len(req.SharedParts) - 1; index >= 0; index-- {
		part := partHash(req.SharedParts[index].ID)
		if pl.holders.holds(now, pl.residences.ttl, part, instanceOf(chosen)) {
			return Fetch{}
		}
		needed := tokens - pl.heldTokens(now, req, chosen, index)
		tokens -= req.SharedParts[index].Tokens
		if home && part == partHash(req.Affinity) {
			continue
		}
		decision, found := pl.transfers.Choose(now, req.Fetch, needed, pl.partSources(now, req, part, chosen, sticky))
		if !found {
			continue
		}
		source := pl.targets[decision.Source.Target]
		ft := Fetch{
			Target: source.entry.ID, Address: source.entry.Address, Reason: pl.fetchReason(now, req, source, chosen, sticky),
			Decision: decision,
		}
		if home {
			// The target has the part already unless the chat is new, and then fetches nothing.
			ft.Reason, ft.Transfer, ft.Bytes = FetchHome, 0, 0
		}
		return ft
	}
	return Fetch{}
}

// fetches reports whether sources are named for the request.
func (pl *Pool) fetches(req *Request) bool {
	return req.Fetch.Enabled() && len(req.SharedParts) > 0 && baselines[pl.policy] == nil && !pl.disabled.Off(mechanism.KVFetch)
}

// heldTokens returns the tokens of the longest run of shared parts, shorter than that up to index, that the target has.
func (pl *Pool) heldTokens(now time.Time, req *Request, tg *target, index int) chestnutroad.Tokens {
	for last := index - 1; last >= 0; last-- {
		if !pl.holders.holds(now, pl.residences.ttl, partHash(req.SharedParts[last].ID), instanceOf(tg)) {
			continue
		}
		held := chestnutroad.Tokens(0)
		for _, part := range req.SharedParts[:last+1] {
			held += part.Tokens
		}
		return held
	}
	return 0
}

// partSources returns the targets other than the chosen one that probably have the part and can send it.
func (pl *Pool) partSources(
	now time.Time, req *Request, part chestnutroad.PartHash, chosen, sticky *target,
) []kvfetch.Source {
	instances := pl.holders.sources(now, pl.residences.ttl, part)
	if part == partHash(req.Affinity) {
		instances = append(instances, pl.homes(now, req, part, sticky)...)
	}
	var sources []kvfetch.Source
	for _, in := range instances {
		tg := pl.targets[in.id]
		if tg == nil || tg == chosen || instanceOf(tg) != in || slices.Contains(req.Faulty, in.id) || tg.entry.Service != req.Service || !pl.canSend(now, tg) {
			continue
		}
		src := kvfetch.Source{
			Target: in.id, Incarnation: in.incarnation, Local: tg.entry.DataCentre == chosen.entry.DataCentre,
			Tie: chestnutroad.HashID(string(req.ID) + "/fetch/" + string(in.id)),
		}
		if !slices.Contains(sources, src) {
			sources = append(sources, src)
		}
	}
	return sources
}

// isHome reports whether other hosts probably send the requests with the same last shared part to the target: it is the first by
// hash and has not joined lately, so that the part is in use there if it is in use at all.
func (pl *Pool) isHome(now time.Time, req *Request, tg *target) bool {
	return tg == pl.firstByHash(req.Service, partHash(req.Affinity)) && !pl.joinedLately(now, tg)
}

// firstByHash returns the first target by hash of all registered ones, or nil.
func (pl *Pool) firstByHash(service chestnutroad.ServiceID, part chestnutroad.PartHash) *target {
	var first *target
	for _, tg := range pl.services[service] {
		if first == nil || rendezvousWeight(tg, part) > rendezvousWeight(first, part) {
			first = tg
		}
	}
	return first
}

// homes returns the targets to which other hosts probably send requests with the part: the one where it is in use, and the first by
// hash if that one gets no more requests but is still there. Targets that joined lately may lack the part.
func (pl *Pool) homes(now time.Time, req *Request, part chestnutroad.PartHash, sticky *target) []instance {
	first := pl.firstByHash(req.Service, part)
	var homes []instance
	for _, tg := range []*target{sticky, first} {
		if tg != nil && (tg == sticky || !tg.usable()) && !pl.joinedLately(now, tg) {
			homes = append(homes, instanceOf(tg))
		}
	}
	return homes
}

// joinSettleTime is how long after a target joined other hosts may not have sent it the parts that the hash prefers there. Parts in
// use elsewhere at that time have a residence, which all hosts know.
const joinSettleTime = 3 * time.Second

// joinedLately reports whether the target joined within joinSettleTime.
func (pl *Pool) joinedLately(now time.Time, tg *target) bool {
	return !tg.joinedAt.IsZero() && now.Sub(tg.joinedAt) < joinSettleTime
}

// canSend reports whether the target is registered and nothing is known that keeps it from sending parts. A target that leaves
// sends them until it is gone.
func (pl *Pool) canSend(now time.Time, tg *target) bool {
	if tg.removed || tg.crashed || !pl.disabled.Off(mechanism.Reachability) && pl.awaitsProbe(tg) {
		return false
	}
	if !pl.disabled.Off(mechanism.Ejection) && tg.failing(now) {
		return false
	}
	return tg.leaving() || tg.notice.retryAfter(now) == 0 && !now.Before(tg.peerHoldUntil)
}

// MarkCrashed records that an incarnation of a target ended under a request, with which it lost its cache. It holds until the
// incarnation answers again, which shows that only the connection had ended.
func (pl *Pool) MarkCrashed(entry *chestnutroad.TargetEntry) {
	if tg := pl.targets[entry.ID]; tg != nil && tg.entry.SameIncarnation(entry) {
		tg.crashed = true
	}
}

// awaitsProbe reports whether the target or its data centre was unreachable and has not answered since.
func (pl *Pool) awaitsProbe(tg *target) bool {
	cn := pl.centres[tg.entry.DataCentre]
	return tg.breaker.backoff > 0 || cn != nil && cn.breaker.backoff > 0
}

// fetchReason returns why the chosen target lacks the part.
func (pl *Pool) fetchReason(now time.Time, req *Request, source, chosen, sticky *target) FetchReason {
	switch {
	case source.leaving():
		return FetchDraining
	case len(req.Excluded) > 0:
		return FetchRetry
	case pl.joinedLately(now, chosen):
		return FetchJoined
	case sticky != nil && sticky != chosen:
		return FetchOverflow
	default:
		return FetchMoved
	}
}

// StartParts records that a request is sent to the chosen target, which prefills or fetches its shared parts.
func (pl *Pool) StartParts(now time.Time, req *Request, choice *Choice) {
	if !pl.fetches(req) {
		return
	}
	if choice.Fetch.Target != "" {
		pl.transfers.Start(now, &choice.Fetch.Decision)
	}
	in := instance{id: choice.Entry.ID, incarnation: choice.Entry.Incarnation}
	for _, part := range req.SharedParts {
		if hd := pl.holders.add(now, pl.residences.ttl, partHash(part.ID), in); hd != nil {
			hd.chosenAt = now
		}
	}
}

// ConfirmParts records that a target has run a request, so that it has the request's shared parts.
func (pl *Pool) ConfirmParts(now time.Time, req *Request, entry *chestnutroad.TargetEntry) {
	if !pl.fetches(req) {
		return
	}
	in := instance{id: entry.ID, incarnation: entry.Incarnation}
	for _, part := range req.SharedParts {
		if hd := pl.holders.add(now, pl.residences.ttl, partHash(part.ID), in); hd != nil {
			hd.answeredAt = now
		}
	}
}
