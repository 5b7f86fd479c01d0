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
	// listed is true once the targets were read.
	listed atomic.Bool

	mu sync.Mutex
	// configuration is the text of the configuration in force, for other hosts.
	configuration *siblings.Packed
	// records are the targets' records.
	records *records
	// lives are what the host has seen of the targets.
	lives *lives
	// packedRecords are all records, for hosts that start; nil after a change until one asks for them.
	packedRecords *siblings.Packed
	pool          *placement.Pool
	budgets       map[chestnutroad.ServiceID]*retrybudget.Budget
	pacings       map[chestnutroad.RouteID]*pacing
	teams         map[chestnutroad.ServiceID]*admission.Teams
	// throttles decide which requests of a service are admitted.
	throttles map[chestnutroad.ServiceID]*admission.Throttle
	// off are the mechanisms that are switched off.
	off    mechanism.Set
	ratio  float64
	window time.Duration
	// slack is the whole installation's retries beyond the ratio, of which this host takes an equal part.
	slack float64
	hosts int
}

// assumedHosts divides the retry slack until the number of hosts is known; installations start with 12 and more.
const assumedHosts = 24

func newState(set *settings.Entry) *state {
	return &state{
		records:   newRecords(),
		lives:     newLives(),
		pool:      placement.NewPool(set.DataCentre, poolOptions(set)...),
		budgets:   map[chestnutroad.ServiceID]*retrybudget.Budget{},
		pacings:   map[chestnutroad.RouteID]*pacing{},
		teams:     map[chestnutroad.ServiceID]*admission.Teams{},
		throttles: map[chestnutroad.ServiceID]*admission.Throttle{},
		off:       set.Without,
		ratio:     set.RetryRatio,
		window:    set.RetryWindow,
		slack:     set.RetrySlack,
		hosts:     assumedHosts,
	}
}

// poolOptions returns what the settings say of the choice of targets.
func poolOptions(set *settings.Entry) []placement.Option {
	return []placement.Option{
		placement.WithCapFactor(set.CapFactor), placement.WithPolicy(set.Placement), placement.WithPartMemory(set.PartMemory),
		placement.WithoutMechanisms(set.Without),
	}
}

// offer puts a configuration in force unless a newer one already is, and reports whether it did.
func (st *state) offer(cf *chestnutroad.Configuration, text []byte) bool {
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

func (st *state) ready() bool { return st.table.Load() != nil && st.listed.Load() }

func (st *state) choose(now time.Time, ask *placement.Request) (placement.Choice, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	choice, found := st.pool.Choose(now, ask)
	if found {
		st.pool.Start(choice.Entry.ID)
	}
	return choice, found
}

func (st *state) finish(now time.Time, id chestnutroad.TargetID, outcome placement.Outcome) placement.ReachabilityChange {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.Finish(id)
	return st.pool.Observe(now, id, outcome)
}

func (st *state) census(now time.Time, service chestnutroad.ServiceID) placement.TargetCounts {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.CountTargets(now, service)
}

func (st *state) reported(now time.Time, id chestnutroad.TargetID, facts *chestnutroad.AnswerFacts) {
	if !facts.HasLoad {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.SetReportedLoad(now, id, facts.Running, facts.Waiting)
}

// noted takes in whether the target says that it leaves, or wants no requests for a time, and reports whether that is new.
func (st *state) noted(now time.Time, entry *chestnutroad.TargetEntry, facts *chestnutroad.AnswerFacts) bool {
	if !facts.Leaving && facts.RetryAfter <= 0 {
		return false
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.RecordNotice(now, entry, placement.Notice{Leaving: facts.Leaving, RetryAfter: facts.RetryAfter})
}

// soonestReturn returns how long no target of the service takes requests; zero when one does.
func (st *state) soonestReturn(now time.Time, service chestnutroad.ServiceID) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.RetryAfter(now, service)
}

func (st *state) budget(service chestnutroad.ServiceID) *retrybudget.Budget {
	known := st.budgets[service]
	if known == nil {
		known = retrybudget.New(st.ratio, st.window)
		st.budgets[service] = known
	}
	return known
}

func (st *state) countRequest(now time.Time, service chestnutroad.ServiceID) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.budget(service).Request(now)
}

func (st *state) takeRetry(now time.Time, service chestnutroad.ServiceID) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.off.Off(mechanism.RetryBudget) {
		return true
	}
	return st.budget(service).Retry(now, st.slack/float64(max(1, st.hosts)))
}

// setHosts takes in the number of hosts, among which the retry slack is divided.
func (st *state) setHosts(count int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.hosts = count
}

// setOthers takes in what other hosts said of the targets.
func (st *state) setOthers(now time.Time, view *relay.View) {
	counts := make(map[chestnutroad.TargetID]int, len(view.Counts))
	notices := map[chestnutroad.TargetID]placement.Notice{}
	for index, id := range view.List.IDs[:min(len(view.Counts), len(view.List.IDs))] {
		counts[id] = int(view.Counts[index])
		if index < len(view.Notices) && view.Notices[index] > 0 {
			notice := view.Notices[index]
			notices[id] = placement.Notice{Leaving: notice == relay.Leaving, RetryAfter: relay.Hold(notice)}
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.SetPeerCounts(counts)
	st.pool.SetPeerNotices(now, notices)
}

// residences returns what other hosts are to be told of prompt parts, each once.
func (st *state) residences(now time.Time) []chestnutroad.Residence {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.TakeResidences(now)
}

// setResidences takes in what other hosts know of prompt parts.
func (st *state) setResidences(now time.Time, told []chestnutroad.Residence) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.MergeResidences(now, told)
}

// targets counts the targets by their state.
func (st *state) targets(now time.Time) map[string]int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.States(now)
}

// held returns what the host holds.
func (st *state) held(now time.Time) relay.Held {
	st.mu.Lock()
	defer st.mu.Unlock()
	held := relay.Held{Position: st.records.next, Own: st.ownView(now)}
	if tb := st.table.Load(); tb != nil {
		held.Version = tb.Version()
	}
	return held
}

// ownView returns the own requests at each target, and what targets said to this host, in the order of the list of targets.
func (st *state) ownView(now time.Time) relay.View {
	list := st.records.targetList()
	view := relay.View{List: list, Counts: make([]byte, 0, len(list.IDs))}
	own, said := st.pool.OwnCounts(), st.pool.Notices(now)
	for _, id := range list.IDs {
		view.Counts = append(view.Counts, byte(min(relay.MaxCount, own[id])))
	}
	if len(said) == 0 {
		return view
	}
	view.Notices = make([]relay.Notice, len(list.IDs))
	for index, id := range list.IDs {
		if view.Notices[index] = relay.NewNotice(said[id].RetryAfter); said[id].Leaving {
			view.Notices[index] = relay.Leaving
		}
	}
	return view
}

// replaceRecords takes in the newest record of each target up to next, and the ends of targets that have none any more.
func (st *state) replaceRecords(records []chestnutroad.KeyedRecord, next chestnutroad.Position) {
	st.mu.Lock()
	st.records.jump(next)
	st.mu.Unlock()
	st.applyRecords(records, next)
}

// applyRecords takes in the changes of targets up to next.
func (st *state) applyRecords(changes []chestnutroad.KeyedRecord, next chestnutroad.Position) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.records.apply(changes, next)
	if len(changes) > 0 {
		st.packedRecords = nil
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
	if said = st.lives.outdated(entry, era); said != notOutdated {
		if said == outdatedLeaving && known {
			// Hosts that start meanwhile read the older entry, and are told that the target leaves.
			st.pool.RecordNotice(now, &before, placement.Notice{Leaving: true})
		}
		return said, before, known
	}
	st.lives.see(entry, era)
	if st.pool.Set(entry) {
		st.pool.MarkJoined(now, entry.ID)
	}
	return notOutdated, before, known
}

// forgetLife has the next entry of a target believed, whatever it says: its entry was only missing in a copy of the store,
// which tells nothing of its end.
func (st *state) forgetLife(id chestnutroad.TargetID) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.lives.byID, id)
}

// beyond returns what the host holds beyond what another one does.
func (st *state) beyond(request *siblings.StateRequest) *siblings.State {
	answer, newer, all := st.beyondRecords(request)
	// Packing takes some ms, in which requests must not wait for the state.
	if newer != nil {
		answer.Configuration = newer.Data()
	}
	if all != nil {
		answer.AllTargets = all.Data()
	}
	return answer
}

// beyondRecords returns the changes of the records, the configuration when it is newer, and all records when changes do
// not tell.
func (st *state) beyondRecords(request *siblings.StateRequest) (answer *siblings.State, newer, all *siblings.Packed) {
	st.mu.Lock()
	defer st.mu.Unlock()
	answer = &siblings.State{Position: st.records.next}
	if tb := st.table.Load(); tb != nil && tb.Version() > request.Version {
		answer.Version = tb.Version()
		newer = st.configuration
	}
	if !st.listed.Load() || !st.records.next.After(request.Position) {
		return answer, newer, nil
	}
	if !st.records.needsAll(request.Position) {
		answer.Targets = st.records.since(request.Position)
		return answer, newer, nil
	}
	if st.packedRecords == nil {
		st.packedRecords = siblings.NewPackedRecords(st.records.all())
	}
	return answer, newer, st.packedRecords
}
