package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/admission"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/placement"
	"github.com/chestnutroad/chestnutroad/internal/relay"
	"github.com/chestnutroad/chestnutroad/internal/retrybudget"
	"github.com/chestnutroad/chestnutroad/internal/routing"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/internal/siblings"
)

// state is what the host believes of the configuration, the targets and the retry budgets.
type state struct {
	table atomic.Pointer[routing.Table]
	// targetsLoaded is true once the targets were read.
	targetsLoaded atomic.Bool

	mu sync.Mutex
	// configuration is the text of the configuration in force, for other hosts.
	configuration *siblings.Packed
	// records are the targets' records.
	records *recordSet
	// incarnations are what the host has seen of the targets.
	incarnations *incarnations
	// packedSnapshot are all records, for hosts that start; nil after a change until one asks for them.
	packedSnapshot *siblings.Packed
	pool           *placement.Pool
	budgets        map[chestnutroad.ServiceID]*retrybudget.Budget
	pacings        map[chestnutroad.RouteID]*pacing
	teams          map[chestnutroad.ServiceID]*admission.Teams
	// throttles decide which requests of a service are admitted.
	throttles map[chestnutroad.ServiceID]*admission.Throttle
	// disabled are the mechanisms that are switched disabled.
	disabled    mechanism.Set
	retryRatio  float64
	retryWindow time.Duration
	// retrySlack is the whole installation's retries beyond the ratio, of which this host takes an equal part.
	retrySlack float64
	hostCount  int
}

// defaultHostCount divides the retry slack until the number of hosts is known; installations start with 12 and more.
const defaultHostCount = 24

func newState(set *settings.Entry) *state {
	return &state{
		records:      newRecordSet(),
		incarnations: newIncarnations(),
		pool:         placement.NewPool(set.DataCentre, poolOptions(set)...),
		budgets:      map[chestnutroad.ServiceID]*retrybudget.Budget{},
		pacings:      map[chestnutroad.RouteID]*pacing{},
		teams:        map[chestnutroad.ServiceID]*admission.Teams{},
		throttles:    map[chestnutroad.ServiceID]*admission.Throttle{},
		disabled:     set.Without,
		retryRatio:   set.RetryRatio,
		retryWindow:  set.RetryWindow,
		retrySlack:   set.RetrySlack,
		hostCount:    defaultHostCount,
	}
}

// poolOptions returns what the settings say of the choice of targets.
func poolOptions(set *settings.Entry) []placement.Option {
	return []placement.Option{
		placement.WithCapFactor(set.CapFactor), placement.WithPolicy(set.Placement), placement.WithPartMemory(set.PartMemory),
		placement.WithoutMechanisms(set.Without),
	}
}

// activateIfNewer puts a configuration in force unless a newer one already is, and reports whether it did.
func (st *state) activateIfNewer(cf *chestnutroad.Configuration, text []byte) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	current := st.table.Load()
	if current != nil && current.Version() >= cf.Version {
		return false
	}
	st.table.Store(routing.NewTable(cf))
	st.configuration = siblings.NewPacked(text)
	return true
}

func (st *state) ready() bool { return st.table.Load() != nil && st.targetsLoaded.Load() }

func (st *state) choose(now time.Time, ask *placement.Ask) (placement.Choice, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	choice, found := st.pool.Choose(now, ask)
	if found {
		st.pool.Start(choice.Entry.ID)
	}
	return choice, found
}

func (st *state) finish(now time.Time, id chestnutroad.TargetID, outcome placement.Outcome) placement.Reach {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.Finish(id)
	return st.pool.Observe(now, id, outcome)
}

func (st *state) countTargets(now time.Time, service chestnutroad.ServiceID) placement.Census {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.Census(now, service)
}

func (st *state) observeLoad(now time.Time, id chestnutroad.TargetID, facts *chestnutroad.AnswerFacts) {
	if !facts.HasLoad {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.Reported(now, id, facts.Running, facts.Waiting)
}

// applyNotice takes in whether the target says that it leaves, or wants no requests for a time, and reports whether that is new.
func (st *state) applyNotice(now time.Time, entry *chestnutroad.TargetEntry, facts *chestnutroad.AnswerFacts) bool {
	if !facts.Leaving && facts.RetryAfter <= 0 {
		return false
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.Noted(now, entry, placement.Notice{Leaving: facts.Leaving, Hold: facts.RetryAfter})
}

// timeUntilAvailable returns how long no target of the service takes requests; zero when one does.
func (st *state) timeUntilAvailable(now time.Time, service chestnutroad.ServiceID) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.SoonestReturn(now, service)
}

func (st *state) retryBudget(service chestnutroad.ServiceID) *retrybudget.Budget {
	known := st.budgets[service]
	if known == nil {
		known = retrybudget.New(st.retryRatio, st.retryWindow)
		st.budgets[service] = known
	}
	return known
}

func (st *state) countRequest(now time.Time, service chestnutroad.ServiceID) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.retryBudget(service).Request(now)
}

func (st *state) allowRetry(now time.Time, service chestnutroad.ServiceID) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.disabled.Off(mechanism.RetryBudget) {
		return true
	}
	return st.retryBudget(service).Retry(now, st.retrySlack/float64(max(1, st.hostCount)))
}

// setHostCount takes in the number of hosts, among which the retry slack is divided.
func (st *state) setHostCount(count int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.hostCount = count
}

// setRemoteView takes in what other hosts said of the targets.
func (st *state) setRemoteView(now time.Time, view *relay.View) {
	counts := make(map[chestnutroad.TargetID]int, len(view.Counts))
	notices := map[chestnutroad.TargetID]placement.Notice{}
	for index, id := range view.List.IDs[:min(len(view.Counts), len(view.List.IDs))] {
		counts[id] = int(view.Counts[index])
		if index < len(view.Notices) && view.Notices[index] > 0 {
			notice := view.Notices[index]
			notices[id] = placement.Notice{Leaving: notice == relay.Leaving, Hold: relay.Hold(notice)}
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.SetOthers(counts)
	st.pool.SetOthersNotices(now, notices)
}

// pendingResidences returns what other hosts are to be told of prompt parts, each once.
func (st *state) pendingResidences(now time.Time) []chestnutroad.Residence {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.Residences(now)
}

// applyResidences takes in what other hosts know of prompt parts.
func (st *state) applyResidences(now time.Time, told []chestnutroad.Residence) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.SetResidences(now, told)
}

// targetStates counts the targetStates by their state.
func (st *state) targetStates(now time.Time) map[string]int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.States(now)
}

// localStatus returns what the host holds.
func (st *state) localStatus(now time.Time) relay.Held {
	st.mu.Lock()
	defer st.mu.Unlock()
	held := relay.Held{Position: st.records.next, Own: st.localView(now)}
	if tb := st.table.Load(); tb != nil {
		held.Version = tb.Version()
	}
	return held
}

// localView returns the own requests at each target, and what targets said to this host, in the order of the list of targets.
func (st *state) localView(now time.Time) relay.View {
	list := st.records.targetList()
	view := relay.View{List: list, Counts: make([]byte, 0, len(list.IDs))}
	own, said := st.pool.Own(), st.pool.Notices(now)
	for _, id := range list.IDs {
		view.Counts = append(view.Counts, byte(min(relay.MaxCount, own[id])))
	}
	if len(said) == 0 {
		return view
	}
	view.Notices = make([]relay.Notice, len(list.IDs))
	for index, id := range list.IDs {
		if view.Notices[index] = relay.NewNotice(said[id].Hold); said[id].Leaving {
			view.Notices[index] = relay.Leaving
		}
	}
	return view
}

// replaceRecords takes in the newest record of each target up to next, and the ends of targets that have none any more.
func (st *state) replaceRecords(records []chestnutroad.KeyedRecord, next chestnutroad.Position) {
	st.mu.Lock()
	st.records.skipTo(next)
	st.mu.Unlock()
	st.applyRecords(records, next)
}

// applyRecords takes in the changes of targets up to next.
func (st *state) applyRecords(changes []chestnutroad.KeyedRecord, next chestnutroad.Position) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.records.apply(changes, next)
	if len(changes) > 0 {
		st.packedSnapshot = nil
	}
}

// setTarget takes in a target's entry from a record of the era, unless it is older than what was seen. It
// returns whether it is, and the entry before it.
func (st *state) setTarget(
	now time.Time, entry *chestnutroad.TargetEntry, era chestnutroad.Era,
) (said outdated, before chestnutroad.TargetEntry, known bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	before, known = st.pool.Entry(entry.ID)
	if said = st.incarnations.outdated(entry, era); said != notOutdated {
		if said == outdatedLeaving && known {
			// Hosts that start meanwhile read the older entry, and are told that the target leaves.
			st.pool.Noted(now, &before, placement.Notice{Leaving: true})
		}
		return said, before, known
	}
	st.incarnations.observe(entry, era)
	if st.pool.Set(entry) {
		st.pool.Joined(now, entry.ID)
	}
	return notOutdated, before, known
}

// forgetIncarnation has the next entry of a target believed, whatever it says: its entry was only missing in a copy of the store,
// which tells nothing of its end.
func (st *state) forgetIncarnation(id chestnutroad.TargetID) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.incarnations.byID, id)
}

// deltaFor returns what the host holds deltaFor what another one does.
func (st *state) deltaFor(request *siblings.StateRequest) *siblings.State {
	answer, newer, all := st.collectDelta(request)
	// Packing takes some ms, in which requests must not wait for the state.
	if newer != nil {
		answer.Configuration = newer.Data()
	}
	if all != nil {
		answer.AllTargets = all.Data()
	}
	return answer
}

// collectDelta returns the changes of the records, the configuration when it is newer, and all records when changes do
// not tell.
func (st *state) collectDelta(request *siblings.StateRequest) (answer *siblings.State, newer, all *siblings.Packed) {
	st.mu.Lock()
	defer st.mu.Unlock()
	answer = &siblings.State{Position: st.records.next}
	if tb := st.table.Load(); tb != nil && tb.Version() > request.Version {
		answer.Version = tb.Version()
		newer = st.configuration
	}
	if !st.targetsLoaded.Load() || !st.records.next.After(request.Position) {
		return answer, newer, nil
	}
	if !st.records.needsSnapshot(request.Position) {
		answer.Targets = st.records.changesSince(request.Position)
		return answer, newer, nil
	}
	if st.packedSnapshot == nil {
		st.packedSnapshot = siblings.NewPackedRecords(st.records.snapshot())
	}
	return answer, newer, st.packedSnapshot
}
