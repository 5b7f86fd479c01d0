package placement

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/kvfetch"
	"github.com/chestnutroad/chestnutroad/internal/locality"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

const (
	// remoteRoundTrip is the round trip to another data centre: a message takes 0.5 to 1.4 ms.
	remoteRoundTrip = 2 * time.Millisecond
	// remoteConnection is the mean cost of the additional connections of remote requests. A host with 7 requests a second that spreads
	// them over 140 targets opens one for every second request; each takes 1 ms of the target's time and a round trip.
	remoteConnection = 1500 * time.Microsecond
	// remoteMiB is the time that a MiB between data centres is worth. With it, a part of 10,500 tokens (181 MiB at 18 KB a token) costs
	// more to transfer than to prefill (128 ms), and the 15 KB of a request and its answer cost 0.015 ms.
	remoteMiB = time.Millisecond
	mebibyte  = 1 << 20
	// requestDurationWeight is the weight of a request in the mean duration of a service's requests.
	requestDurationWeight = 1.0 / 64
)

// Locality states whether a request leaves the data centre. It is the zero Locality where package locality doesn't decide.
type Locality struct {
	// Decided is true when the request was divided by load and costs.
	Decided bool
	// Leaves is true when the chosen target is in another data centre.
	Leaves bool
	// Reason is why the request leaves or stays.
	Reason locality.Reason
	// Share is the share of requests that leave because of the load.
	Share locality.Share
}

// The reasons for which a request stays.
const (
	// StaysLocal is the usual one: no other applies.
	StaysLocal locality.Reason = "Local"
	// StaysCached means that the request's prompt part is probably cached locally.
	StaysCached locality.Reason = "CachedLocally"
	// StaysNoRemote means that no remote target may get the request, or that none has a free slot.
	StaysNoRemote locality.Reason = "NoRemoteTarget"
)

// poolLocality holds the state by which a pool divides requests between its own data centre and the others.
type poolLocality struct {
	enabled bool
	// residences are the residences at targets of the host's own data centre; Pool.residences are then those at remote ones.
	residences *residenceTable
	balancers  map[chestnutroad.ServiceID]*locality.Balancer
	uses       *partUses
	// hosts is the number of hosts of the data centre.
	hosts     int
	durations map[chestnutroad.ServiceID]time.Duration
}

func newPoolLocality() *poolLocality {
	return &poolLocality{
		balancers: map[chestnutroad.ServiceID]*locality.Balancer{}, uses: newPartUses(), hosts: 1,
		durations: map[chestnutroad.ServiceID]time.Duration{},
	}
}

// WithLocality sets whether load and costs decide which requests go to targets of other data centres; by default they don't.
func WithLocality(enabled bool) Option {
	return func(pl *Pool) {
		pl.locality.enabled = enabled
		if enabled {
			pl.divideResidences()
		} else {
			pl.joinResidences()
		}
	}
}

// localityOn reports whether requests are divided between the own data centre and the others. The baseline policies ignore data
// centres.
func (pl *Pool) localityOn() bool {
	return pl.locality.enabled && baselines[pl.policy] == nil && !pl.disabled.Off(mechanism.Locality)
}

// divideResidences moves the residences at local targets to their own table.
func (pl *Pool) divideResidences() {
	for part, rd := range pl.residences.parts {
		if tg := pl.targets[rd.target.id]; tg != nil && pl.isLocal(tg) {
			pl.locality.residences.parts[part] = rd
			delete(pl.residences.parts, part)
		}
	}
}

// joinResidences moves the residences at local targets back to the common table. A part that is in use on both sides stays local.
func (pl *Pool) joinResidences() {
	local := pl.locality.residences
	maps.Copy(pl.residences.parts, local.parts)
	clear(local.parts)
	local.queue = nil
}

func (pl *Pool) isLocal(tg *target) bool { return tg.entry.DataCentre == pl.dataCentre }

// tableOf returns the table of the residences at the target.
func (pl *Pool) tableOf(tg *target) *residenceTable {
	if pl.localityOn() && pl.isLocal(tg) {
		return pl.locality.residences
	}
	return pl.residences
}

// SetCentreHostCount sets the number of hosts of the own data centre, by which the uses of a part there are estimated.
func (pl *Pool) SetCentreHostCount(count int) { pl.locality.hosts = max(1, count) }

// ObserveDuration records the duration of a request of the service.
func (pl *Pool) ObserveDuration(service chestnutroad.ServiceID, duration time.Duration) {
	mean, found := pl.locality.durations[service]
	if !found {
		mean = duration
	}
	pl.locality.durations[service] = mean + time.Duration(requestDurationWeight*float64(duration-mean))
}

// LocalityReport is the report on a service's share of requests that leave.
type LocalityReport struct {
	Service chestnutroad.ServiceID
	locality.Report
}

// ObserveSides updates the shares of requests that leave after a message of counts, and returns them.
func (pl *Pool) ObserveSides(now time.Time) []LocalityReport {
	if !pl.localityOn() {
		return nil
	}
	reports := make([]LocalityReport, 0, len(pl.services))
	for _, service := range slices.Sorted(maps.Keys(pl.services)) {
		targets := pl.services[service]
		counts := locality.Counts{RoundTrip: remoteRoundTrip + remoteConnection, Duration: pl.locality.durations[service]}
		bound, _ := pl.bound(now, targets)
		for _, tg := range targets {
			switch {
			case !tg.usable() || pl.unreachable(now, tg):
			case pl.isLocal(tg):
				counts.Local.Add(tg.load(now), tg.entry.Slots, bound)
			default:
				counts.Remote.Add(tg.load(now), tg.entry.Slots, bound)
			}
		}
		reports = append(reports, LocalityReport{Service: service, Report: pl.balancer(service).Observe(now, counts)})
	}
	return reports
}

// LocalityShare returns the share of the service's requests that leave because of the load.
func (pl *Pool) LocalityShare(now time.Time, service chestnutroad.ServiceID) locality.Share {
	if !pl.localityOn() {
		return 0
	}
	return pl.balancer(service).Share(now)
}

func (pl *Pool) balancer(service chestnutroad.ServiceID) *locality.Balancer {
	if pl.locality.balancers[service] == nil {
		pl.locality.balancers[service] = locality.New(locality.WithPartMemory(pl.residences.ttl), locality.WithBytePrice(remoteMiB))
	}
	return pl.locality.balancers[service]
}

// chooseSide chooses a target of the group. Where load and costs decide which requests leave the data centre, it chooses one of the
// side that they select, or of the other side when that one yields none.
func (pl *Pool) chooseSide(now time.Time, req *Request, group *candidateGroup, sel *selection) (Choice, *target, bool) {
	sel.confined = pl.confined(now, group.healthy, req)
	if !pl.localityOn() || req.Only != "" {
		return pl.chooseFrom(now, req, group, sel)
	}
	local, remote := pl.sides(now, group, sel.mean)
	made := pl.decideSide(now, req, group, local, remote, sel)
	first, second := local, remote
	if made.Leaves {
		first, second = remote, local
	}
	choice, sticky, found := pl.chooseFrom(now, req, first, sel)
	// On a crowded service, a request with a costly part would have it prefilled at the other side only to find slots taken there.
	if !found && len(second.healthy) > 0 && (!sel.confined || len(first.healthy) == 0) {
		before := choice
		choice, sticky, found = pl.chooseFrom(now, req, second, sel)
		choice.Full, choice.Limited = choice.Full || before.Full, choice.Limited || before.Limited
		made = made.turned()
	}
	choice.Locality = made
	return choice, sticky, found
}

// turned returns the decision for a request whose first side yielded no target.
func (lc Locality) turned() Locality {
	lc.Leaves = !lc.Leaves
	lc.Reason = StaysNoRemote
	if lc.Leaves {
		lc.Reason = locality.Full
	}
	return lc
}

// sides divides a group into the targets of the own data centre and all others.
func (pl *Pool) sides(now time.Time, group *candidateGroup, mean float64) (local, remote *candidateGroup) {
	local = &candidateGroup{residences: pl.locality.residences}
	remote = &candidateGroup{residences: pl.residences}
	sideOf := func(tg *target) *candidateGroup {
		if pl.isLocal(tg) {
			return local
		}
		return remote
	}
	for _, tg := range group.healthy {
		side := sideOf(tg)
		side.healthy = append(side.healthy, tg)
	}
	for _, tg := range group.usable {
		side := sideOf(tg)
		side.usable = append(side.usable, tg)
		if mean > 0 {
			side.count += float64(tg.load(now)) / mean
		}
	}
	return local, remote
}

// decideSide decides whether a request leaves.
func (pl *Pool) decideSide(
	now time.Time, req *Request, group, local, remote *candidateGroup, sel *selection,
) Locality {
	hasRoom := func(tg *target) bool { return tg.load(now) < sel.bound && tg.hasSlot(now, req) }
	localFull, remoteFull := !slices.ContainsFunc(local.healthy, hasRoom), !slices.ContainsFunc(remote.healthy, hasRoom)
	lr := &locality.Request{
		Draw: pl.localityDraw(req), LocalTargets: len(local.healthy), RemoteTargets: len(remote.healthy), LocalFull: localFull,
		Traffic: req.Traffic, Part: pl.localityPart(now, req, group, local, remote),
	}
	bl := pl.balancer(req.Service)
	decision := bl.Decide(now, lr)
	made := Locality{Decided: true, Leaves: decision.Leave, Reason: decision.Reason, Share: bl.Share(now)}
	switch {
	case !made.Leaves && localFull && !remoteFull:
		// The load bound holds over the whole service.
		made.Leaves, made.Reason = true, locality.Full
	case !made.Leaves && !remoteFull && aboveSafeLoad(group, local, lr, sel.bound):
		made.Leaves, made.Reason = true, locality.Load
	case made.Leaves && remoteFull && !localFull, !made.Leaves && len(remote.healthy) == 0:
		made.Leaves, made.Reason = false, StaysNoRemote
	case !made.Leaves && lr.Part != nil && lr.Part.Local:
		made.Reason = StaysCached
	case !made.Leaves:
		made.Reason = StaysLocal
	}
	return made
}

// localityDraw returns the draw by which it is decided whether a request leaves.
func (pl *Pool) localityDraw(req *Request) float64 {
	id := req.ID
	if id == "" {
		// Requests without an id would all have the same draw.
		pl.unnamed++
		id = chestnutroad.RequestID(strconv.FormatUint(pl.unnamed, 10))
	}
	return hashFraction(id, "locality")
}

// localityPart returns what is known of the request's shared part, or nil without one. Where the part is in use isn't announced between
// data centres. Its first target by hash over all of them is the one that all hosts use while the part is rare, so that the part is
// taken to be cached there, and at other targets as far as this host knows of requests there.
func (pl *Pool) localityPart(now time.Time, req *Request, group, local, remote *candidateGroup) *locality.Part {
	if req.Affinity == "" || pl.disabled.Off(mechanism.Affinity) {
		return nil
	}
	part := partHash(req.Affinity)
	reachable := slices.DeleteFunc(slices.Clone(group.usable), func(tg *target) bool { return pl.unreachable(now, tg) })
	home := heaviest(now, reachable, part)
	localHome := cmp.Or(residentOf(now, local, part, req), heaviest(now, local.usable, part))
	tokens := req.SharedTokens
	if localHome != nil {
		tokens -= pl.heldTokens(now, req, localHome, len(req.SharedParts))
	}
	heldLocally, heldRemotely := pl.heldAt(now, req, local, part), pl.heldAt(now, req, remote, part)
	lp := &locality.Part{
		Draw:   hashFraction(chestnutroad.RequestID(req.Affinity), "locality"),
		Local:  heldLocally || home != nil && pl.isLocal(home),
		Remote: heldRemotely || home != nil && !pl.isLocal(home),
		Rate:   pl.partRate(now, req), Prefill: kvfetch.PrefillTime(tokens),
	}
	// A target can fetch the part only from one that is known to have it.
	if heldRemotely {
		lp.FetchLocal = remoteFetchCost(req, tokens)
	}
	if heldLocally {
		lp.FetchRemote = remoteFetchCost(req, tokens)
	}
	return lp
}

// remoteFetchCost returns the cost of fetching the cache of the tokens from another data centre; zero where fetches are disabled.
func remoteFetchCost(req *Request, tokens chestnutroad.Tokens) time.Duration {
	if req.Fetch.FetchTime(tokens) == 0 {
		return 0
	}
	return req.Fetch.FetchTime(tokens) + time.Duration(float64(req.Fetch.Size(tokens))/mebibyte*float64(remoteMiB))
}

// residentOf returns the target of the group at which the part is in use as far as this host knows, or nil.
func residentOf(now time.Time, group *candidateGroup, part chestnutroad.PartHash, req *Request) *target {
	resident := group.residences.lookup(now, part)
	if resident == nil || resident.entry.Service != req.Service {
		return nil
	}
	return resident
}

// heldAt reports whether the part is cached at a target of the group as far as this host knows.
func (pl *Pool) heldAt(now time.Time, req *Request, group *candidateGroup, part chestnutroad.PartHash) bool {
	if residentOf(now, group, part, req) != nil {
		return true
	}
	sources := pl.holders.sources(now, pl.residences.ttl, part)
	return slices.ContainsFunc(group.usable, func(tg *target) bool { return slices.Contains(sources, instanceOf(tg)) })
}

// partRate returns the number of uses of the request's part a second that are expected in the data centre, and counts this one. Only
// other requests of this host predict further ones. For a part that it has seen once, the share of such parts that came again does.
func (pl *Pool) partRate(now time.Time, req *Request) chestnutroad.RequestRate {
	return pl.locality.uses.rate(now, req.Affinity, len(req.Excluded) == 0) * chestnutroad.RequestRate(pl.locality.hosts)
}

// withinSide selects one of the targets of a side for a request without a prompt part.
func (pl *Pool) withinSide(now time.Time, targets []*target, req *Request, bound int, suspect bool) Choice {
	below := slices.DeleteFunc(slices.Clone(targets), func(tg *target) bool { return tg.load(now) >= bound })
	if len(below) == 0 {
		below = targets
	}
	chosen := pl.byFreeSlots(now, below, req)
	return Choice{Entry: chosen.entry, Load: chosen.load(now), Bound: bound, Suspect: suspect}
}
