package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/admission"
	"github.com/chestnutroad/chestnutroad/internal/attempt"
	"github.com/chestnutroad/chestnutroad/internal/kvfetch"
	"github.com/chestnutroad/chestnutroad/internal/locality"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/placement"
	"github.com/chestnutroad/chestnutroad/internal/quarantine"
	"github.com/chestnutroad/chestnutroad/internal/relay"
	"github.com/chestnutroad/chestnutroad/internal/retrybudget"
	"github.com/chestnutroad/chestnutroad/internal/routing"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/internal/siblings"
	"github.com/chestnutroad/chestnutroad/internal/work"
)

// state holds the active configuration, the targets, and the budgets and limits of each service. It is shared by all requests.
type state struct {
	table atomic.Pointer[routing.Table]
	// configurationLoaded is closed when the first configuration becomes active.
	configurationLoaded chan struct{}
	// targetsLoaded is true once the targets were read from the store or another host.
	targetsLoaded atomic.Bool
	// invalidColdTimes counts entries and answers with a time for which the target is cold that is negative or implausibly long.
	invalidColdTimes atomic.Int64

	mu sync.Mutex
	// configuration is the text of the active configuration, for other hosts.
	configuration *siblings.Compressed
	// records are the records of the targets, for other hosts.
	records *recordSet
	// incarnations are the last observed incarnations of the targets, to detect outdated entries.
	incarnations *incarnations
	// unusable holds the targets whose latest entry can't be used.
	unusable map[chestnutroad.TargetID]bool
	// compressedSnapshot is the snapshot of the records, for hosts that start; nil after a change until the next request for it.
	compressedSnapshot *siblings.Compressed
	pool               *placement.Pool
	// suspects tracks the prompt parts that are suspected of crashing targets.
	suspects  *quarantine.Tracker
	budgets   map[chestnutroad.ServiceID]*retrybudget.Budget
	ruleStats map[chestnutroad.RouteID]*ruleStats
	teams     map[chestnutroad.ServiceID]*admission.TeamRates
	// throttles hold the admission control of each service.
	throttles map[chestnutroad.ServiceID]*admission.Throttle
	// rates hold the prefill and step times of each service's engines.
	rates map[chestnutroad.ServiceID]*work.Rates
	// disabled are the mechanisms that the settings disable.
	disabled    mechanism.Set
	retryRatio  float64
	retryWindow time.Duration
	// retrySlack is the number of retries beyond the ratio for the whole installation; each host may use an equal share.
	retrySlack float64
	hostCount  int
	// kvFetch and remoteTraffic decide, with the configuration, whether requests are divided between data centres.
	kvFetch       kvfetch.Mode
	remoteTraffic locality.Mode
}

// defaultHostCount divides the retry slack until the number of hosts is known; installations have at least 12.
const defaultHostCount = 24

func newState(set *settings.Entry) *state {
	return &state{
		configurationLoaded: make(chan struct{}),

		records:      newRecordSet(),
		incarnations: newIncarnations(),
		unusable:     map[chestnutroad.TargetID]bool{},
		pool:         placement.NewPool(set.DataCentre, poolOptions(set)...),
		suspects:     quarantine.New(),
		budgets:      map[chestnutroad.ServiceID]*retrybudget.Budget{},
		ruleStats:    map[chestnutroad.RouteID]*ruleStats{},
		teams:        map[chestnutroad.ServiceID]*admission.TeamRates{},
		throttles:    map[chestnutroad.ServiceID]*admission.Throttle{},
		rates:        map[chestnutroad.ServiceID]*work.Rates{},
		disabled:     set.Without,
		retryRatio:   set.RetryRatio,
		retryWindow:  set.RetryWindow,
		retrySlack:   set.RetrySlack,
		hostCount:    defaultHostCount,
		kvFetch:      set.KVFetch,

		remoteTraffic: set.RemoteTraffic,
	}
}

// poolOptions returns the options of the target pool from the settings.
func poolOptions(set *settings.Entry) []placement.Option {
	return []placement.Option{
		placement.WithCapFactor(set.CapFactor), placement.WithPolicy(set.Placement), placement.WithPartMemory(set.PartMemory),
		placement.WithoutMechanisms(set.Without), placement.WithRegions(set.Regions),
		placement.WithColdBound(set.ColdOverrun, set.ColdTolerance),
	}
}

// activateIfNewer activates a configuration if its version is higher than the active one's, and reports whether it did.
func (st *state) activateIfNewer(cf *chestnutroad.Configuration, text []byte) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	current := st.table.Load()
	if current != nil && current.Version() >= cf.Version {
		return false
	}
	st.table.Store(routing.NewTable(cf))
	st.pool.SetColdStarts(cf.Services)
	st.configuration = siblings.NewCompressed(text)
	st.setLocality(cf)
	if current == nil {
		close(st.configurationLoaded)
	}
	return true
}

// ready reports whether a configuration is active and the targets were read.
func (st *state) ready() bool { return st.table.Load() != nil && st.targetsLoaded.Load() }

// choose picks a target for a request and counts the request as running there until finish is called.
func (st *state) choose(now time.Time, criteria *placement.Request) (placement.Choice, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	choice, found := st.pool.Choose(now, criteria)
	if found {
		st.start(now, criteria, &choice)
	}
	return choice, found
}

// start counts a request that is sent to a target; st.mu must be held.
func (st *state) start(now time.Time, criteria *placement.Request, choice *placement.Choice) {
	st.pool.Start(choice.Entry.ID)
	st.pool.CountSent(now, choice.Entry.ID)
	st.pool.StartParts(now, criteria, choice)
}

// finish ends a request at a target, records its outcome, and returns the change of the target's reachability, if any.
func (st *state) finish(now time.Time, id chestnutroad.TargetID, outcome placement.Outcome) placement.ReachabilityChange {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.Finish(id)
	return st.pool.Observe(now, id, outcome)
}

// countTargets counts the targets of a service by availability.
func (st *state) countTargets(now time.Time, service chestnutroad.ServiceID) placement.TargetCounts {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.CountTargets(now, service)
}

// observeLoad records the load that a target reported in an answer.
func (st *state) observeLoad(now time.Time, id chestnutroad.TargetID, metadata *chestnutroad.AnswerMetadata) {
	if !metadata.HasLoad {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.SetReportedLoad(now, id, metadata.Running, metadata.Waiting)
	st.pool.SetPace(now, id, metadata.Pace)
}

// applyNotice records that a target announced in an answer that it is leaving or wants no requests for some time, and reports
// whether the notice is new.
func (st *state) applyNotice(now time.Time, entry *chestnutroad.TargetEntry, metadata *chestnutroad.AnswerMetadata) bool {
	if !metadata.Leaving && metadata.RetryAfter <= 0 {
		return false
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.RecordNotice(now, entry, placement.Notice{Leaving: metadata.Leaving, RetryAfter: metadata.RetryAfter})
}

// timeUntilAvailable returns the time until the first target of the service takes requests; zero when one does already.
func (st *state) timeUntilAvailable(now time.Time, service chestnutroad.ServiceID) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.RetryAfter(now, service)
}

// retryBudget returns the retry budget of a service and creates it if needed; st.mu must be held.
func (st *state) retryBudget(service chestnutroad.ServiceID) *retrybudget.Budget {
	budget := st.budgets[service]
	if budget == nil {
		budget = retrybudget.New(st.retryRatio, st.retryWindow)
		st.budgets[service] = budget
	}
	return budget
}

func (st *state) countRequest(now time.Time, service chestnutroad.ServiceID) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.retryBudget(service).AddRequest(now)
}

// allowRetry reports whether the retry budget of the service allows a retry, and counts it if so.
func (st *state) allowRetry(now time.Time, service chestnutroad.ServiceID) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.disabled.Off(mechanism.RetryBudget) {
		return true
	}
	return st.retryBudget(service).TakeRetry(now, st.retrySlack/float64(max(1, st.hostCount)))
}

// chooseReplacement chooses another target for a request whose target stalled, and takes a retry for it; the request counts as
// running at both targets until finish is called.
func (st *state) chooseReplacement(
	now time.Time, criteria *placement.Request, remaining, reserve time.Duration,
) (choice placement.Choice, end attempt.StallEnd) {
	st.mu.Lock()
	defer st.mu.Unlock()
	budget, share := st.retryBudget(criteria.Service), st.retrySlack/float64(max(1, st.hostCount))
	unlimited := st.disabled.Off(mechanism.RetryBudget)
	end = attempt.AfterStall(&attempt.Stall{
		Remaining: remaining, Reserve: reserve,
		HasRetry: func() bool { return unlimited || budget.HasRetry(now, share) },
		HasTarget: func() (found bool) {
			choice, found = st.pool.Choose(now, criteria)
			return found
		},
	})
	if end == attempt.StallRetried {
		st.start(now, criteria, &choice)
		if !unlimited {
			budget.TakeRetry(now, share)
		}
	}
	return choice, end
}

// returnRetry returns a retry of the service that was taken at a time and not used.
func (st *state) returnRetry(taken time.Time, service chestnutroad.ServiceID) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.disabled.Off(mechanism.RetryBudget) {
		st.retryBudget(service).ReturnRetry(taken)
	}
}

// currentHostCount returns the number of hosts of the installation.
func (st *state) currentHostCount() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.hostCount
}

// serviceIDs returns the services that have targets.
func (st *state) serviceIDs() []chestnutroad.ServiceID {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.ServiceIDs()
}

// listedVersions returns the software versions of the service's targets.
func (st *state) listedVersions(service chestnutroad.ServiceID) map[chestnutroad.SoftwareVersion]bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	listed := map[chestnutroad.SoftwareVersion]bool{}
	st.pool.EachVersion(func(of chestnutroad.ServiceID, version chestnutroad.SoftwareVersion) {
		if of == service {
			listed[version] = true
		}
	})
	return listed
}

// setHostCount sets the number of hosts among which the retry slack is divided.
func (st *state) setHostCount(count int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.hostCount = count
	st.pool.SetHostCount(count)
	st.suspects.SetHostCount(count)
}

// setRemoteView replaces the request counts and notices of targets that other hosts reported.
func (st *state) setRemoteView(now time.Time, view *relay.View) {
	counts := make(map[chestnutroad.TargetID]int, len(view.Counts))
	notices := map[chestnutroad.TargetID]placement.Notice{}
	for index, id := range view.List.IDs[:min(len(view.Counts), len(view.List.IDs))] {
		counts[id] = int(view.Counts[index])
		if index < len(view.Notices) && view.Notices[index] > 0 {
			notice := view.Notices[index]
			notices[id] = placement.Notice{Leaving: notice == relay.Leaving, RetryAfter: relay.NoticeHold(notice)}
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.SetPeerCounts(counts)
	st.pool.SetPeerNotices(now, notices)
}

// pendingResidences returns the residences of prompt parts that other hosts have not been sent yet; each is returned once.
func (st *state) pendingResidences(now time.Time) []chestnutroad.Residence {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.TakeResidences(now)
}

// applyResidences applies the residences of prompt parts that another host sent.
func (st *state) applyResidences(now time.Time, residences []chestnutroad.Residence) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.MergeResidences(now, residences)
}

// targetStates counts the targets by state.
func (st *state) targetStates(now time.Time) map[string]int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.States(now)
}

// localStatus returns this host's configuration version, position in the records, request counts and notices, for other hosts.
func (st *state) localStatus(now time.Time) relay.LocalState {
	st.mu.Lock()
	defer st.mu.Unlock()
	status := relay.LocalState{Position: st.records.next, Own: st.localView(now)}
	if tb := st.table.Load(); tb != nil {
		status.Version = tb.Version()
	}
	return status
}

// localView returns this host's own requests at each target, and the notices that targets gave to it, in the order of the list
// of targets; st.mu must be held.
func (st *state) localView(now time.Time) relay.View {
	list := st.records.targetList()
	view := relay.View{List: list, Counts: make([]byte, 0, len(list.IDs))}
	own, notices := st.pool.OwnCounts(), st.pool.Notices(now)
	for _, id := range list.IDs {
		view.Counts = append(view.Counts, byte(min(relay.MaxCount, own[id])))
	}
	if len(notices) == 0 {
		return view
	}
	view.Notices = make([]relay.Notice, len(list.IDs))
	for index, id := range list.IDs {
		if view.Notices[index] = relay.NewNotice(notices[id].RetryAfter); notices[id].Leaving {
			view.Notices[index] = relay.Leaving
		}
	}
	return view
}

// replaceRecords applies the newest record of each target up to next, and a record without a value for each removed target.
// The changes in between are unknown.
func (st *state) replaceRecords(records []chestnutroad.KeyedRecord, next chestnutroad.Position) {
	st.mu.Lock()
	st.records.skipTo(next)
	st.mu.Unlock()
	st.applyRecords(records, next)
}

// applyRecords applies all changes of targets up to next.
func (st *state) applyRecords(changes []chestnutroad.KeyedRecord, next chestnutroad.Position) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.records.apply(changes, next)
	if len(changes) > 0 {
		st.compressedSnapshot = nil
	}
}

// setTarget applies a target's entry from a record of the era, unless an older copy of the store brought it back. It returns
// how the entry is outdated, if at all, and the previous entry.
func (st *state) setTarget(
	now time.Time, entry *chestnutroad.TargetEntry, era chestnutroad.Era,
) (verdict outdated, before chestnutroad.TargetEntry, found bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.unusable, entry.ID)
	before, found = st.pool.Entry(entry.ID)
	if verdict = st.incarnations.outdated(entry, era); verdict != notOutdated {
		if verdict == outdatedLeaving && found {
			// Hosts that start now read the older entry from the store; the notice informs them that the target is leaving.
			st.pool.RecordNotice(now, &before, placement.Notice{Leaving: true})
		}
		return verdict, before, found
	}
	st.incarnations.observe(entry, era)
	if st.pool.Set(entry) {
		st.pool.MarkJoined(now, entry.ID)
	}
	st.pool.RegisterCold(now, entry, !st.targetsLoaded.Load())
	return notOutdated, before, found
}

// markUnusable records that a target's latest entry can't be used, and reports whether its previous one could be.
func (st *state) markUnusable(id chestnutroad.TargetID) (first bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	first = !st.unusable[id]
	st.unusable[id] = true
	return first
}

// forgetIncarnation drops the last observed incarnation of a target, so that its next entry is applied in any case. The
// target's entry was only missing in a copy of the store, which does not mean that the target ended.
func (st *state) forgetIncarnation(id chestnutroad.TargetID) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.incarnations.byID, id)
}

// deltaFor returns the configuration and records that the requesting host lacks.
func (st *state) deltaFor(request *siblings.StateRequest) *siblings.State {
	answer, configuration, snapshot := st.collectDelta(request)
	// Compression takes a few ms, during which requests must not wait for the mutex.
	if configuration != nil {
		answer.Configuration = configuration.Data()
	}
	if snapshot != nil {
		answer.AllTargets = snapshot.Data()
	}
	return answer
}

// collectDelta returns the changes of the records, the configuration if it is newer, and a snapshot of all records if changes
// do not suffice.
func (st *state) collectDelta(
	request *siblings.StateRequest,
) (answer *siblings.State, configuration, snapshot *siblings.Compressed) {
	st.mu.Lock()
	defer st.mu.Unlock()
	answer = &siblings.State{Position: st.records.next}
	if tb := st.table.Load(); tb != nil && tb.Version() > request.Version {
		answer.Version = tb.Version()
		configuration = st.configuration
	}
	if !st.targetsLoaded.Load() || !st.records.next.After(request.Position) {
		return answer, configuration, nil
	}
	if !st.records.needsSnapshot(request.Position) {
		answer.Targets = st.records.changesSince(request.Position)
		return answer, configuration, nil
	}
	if st.compressedSnapshot == nil {
		st.compressedSnapshot = siblings.NewCompressedRecords(st.records.snapshot())
	}
	return answer, configuration, st.compressedSnapshot
}
