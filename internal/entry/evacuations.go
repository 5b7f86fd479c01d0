package entry

import (
	"fmt"
	"sync"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/evacuation"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

// evacuations keeps the list of evacuated data centres of an entry host, puts it into effect, and logs its changes.
type evacuations struct {
	entry *Entry

	mu      sync.Mutex
	tracker *evacuation.Tracker
	// generation is that of the tracker when the list was last put into effect.
	generation uint64
	// invalid holds the records, by key and position, and the senders of lists that were logged as invalid.
	invalid map[string]bool
}

// maxInvalid limits the records and senders that are remembered as logged.
const maxInvalid = 1000

func newEvacuations(en *Entry) *evacuations {
	return &evacuations{entry: en, tracker: evacuation.New(), invalid: map[string]bool{}}
}

// reset applies the newest records of the operators' stream up to next.
func (ev *evacuations) reset(records []chestnutroad.KeyedRecord, next chestnutroad.Position) {
	ev.update(func(now time.Duration) { ev.tracker.Reset(now, ev.decode(records), next, "store") })
}

// apply applies the records of the operators' stream from an earlier position up to next.
func (ev *evacuations) apply(records []chestnutroad.KeyedRecord, next chestnutroad.Position) {
	ev.update(func(now time.Duration) { ev.tracker.Apply(now, ev.decode(records), next, "store") })
}

// merge applies the list of another host; it is nil when that host has seen no evacuation.
func (ev *evacuations) merge(list *chestnutroad.EvacuationList, from string) {
	if list == nil {
		return
	}
	ev.update(func(now time.Duration) {
		if err := ev.tracker.Merge(now, list, "host "+from); err != nil {
			en := ev.entry
			en.counters.evacuationsInvalid.Inc()
			if ev.isNewInvalid("host " + from) {
				en.logger.Warn("evacuations of another host are invalid", "Source", "host "+from, "Error", err)
			}
		}
	})
}

// refresh ends evacuations that were only kept after a restore of the store, and logs changes that depend on which data centres are
// known.
func (ev *evacuations) refresh() { ev.update(ev.tracker.Expire) }

// update runs a change of the tracker and puts the list into effect. It does nothing while the mechanism is disabled.
func (ev *evacuations) update(change func(now time.Duration)) {
	en := ev.entry
	if en.settings.Without.Off(mechanism.Evacuation) {
		return
	}
	ev.mu.Lock()
	defer ev.mu.Unlock()
	change(en.elapsed())
	if generation := ev.tracker.Generation(); generation != ev.generation {
		ev.generation = generation
		en.state.setEvacuated(en.now(), ev.tracker.Evacuated())
	}
	// Until the targets were read, no data centre but the own one is known.
	if en.state.targetsLoaded.Load() {
		ev.logChanges()
	}
}

// decode returns the evacuations among the records; mu must be held. A record that can't be read is counted and logged once, since
// it may be read again with the newest records.
func (ev *evacuations) decode(records []chestnutroad.KeyedRecord) []evacuation.Record {
	var decoded []evacuation.Record
	for _, record := range records {
		content, found, err := ev.entry.decoder.Evacuation(record.Key, record.Value)
		switch {
		case err != nil && ev.isNewInvalid(record.Key+"@"+record.Position.String()):
			ev.entry.counters.evacuationsInvalid.Inc()
			ev.entry.logger.Warn("evacuation can't be read", "Key", record.Key, "Position", record.Position, "Source", "store",
				"Error", quotable(err))
		case err == nil && found:
			decoded = append(decoded, evacuation.Record{EvacuationRecord: content, Position: record.Position})
		}
	}
	return decoded
}

// isNewInvalid reports whether the record or the sender was not reported as invalid before; mu must be held.
func (ev *evacuations) isNewInvalid(id string) bool {
	if ev.invalid[id] {
		return false
	}
	if len(ev.invalid) >= maxInvalid {
		clear(ev.invalid)
	}
	ev.invalid[id] = true
	return true
}

// logChanges logs evacuations that began or ended; mu must be held.
func (ev *evacuations) logChanges() {
	en := ev.entry
	for _, change := range ev.tracker.Changes(en.knowsDataCentre) {
		fields := []any{
			"TargetCentre", change.DataCentre, "Position", change.Position, "Source", change.Source,
			"OpenRequests", en.state.openRequestsAt(change.DataCentre),
		}
		switch change.Kind {
		case evacuation.Begun:
			en.logger.Info("data centre evacuated", fields...)
		case evacuation.Ended:
			en.logger.Info("data centre no longer evacuated", append(fields, "Lasted", change.Lasted.Round(time.Millisecond))...)
		case evacuation.Unknown:
			en.counters.evacuationsInvalid.Inc()
			en.logger.Warn("evacuated data centre is unknown", fields...)
		}
	}
}

// list returns the list for other hosts, or nil as long as no evacuation has been seen.
func (ev *evacuations) list() *chestnutroad.EvacuationList {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	return ev.tracker.List()
}

// position returns the position of the list, or the zero position as long as no evacuation has been seen.
func (ev *evacuations) position() chestnutroad.Position {
	if list := ev.list(); list != nil {
		return list.Position
	}
	return chestnutroad.Position{}
}

// seen reports whether this host or one that it heard of has seen an evacuation.
func (ev *evacuations) seen() bool {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	return ev.tracker.Seen()
}

// count returns the number of evacuated data centres that this host knows.
func (ev *evacuations) count() int {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	return ev.tracker.Reported()
}

// registerGauges adds the gauges of the evacuated data centres and of the requests that still run there.
func (ev *evacuations) registerGauges() {
	set := ev.entry.counters.set
	set.NewGauge("chestnutroad_data_centres_evacuated", func() float64 { return float64(ev.count()) })
	set.NewGauge("chestnutroad_requests_open_evacuated", func() float64 { return float64(ev.entry.state.openAtEvacuated()) })
}

// knowsDataCentre reports whether the data centre is in the settings or is that of a target.
func (en *Entry) knowsDataCentre(id chestnutroad.DataCentreID) bool {
	_, listed := en.settings.Regions[id]
	return listed || id == en.settings.DataCentre || en.state.hasTargetIn(id)
}

// setEvacuated replaces the list of evacuated data centres, whose targets get no further requests.
func (st *state) setEvacuated(now time.Time, dataCentres []chestnutroad.DataCentreID) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.SetEvacuated(now, dataCentres)
}

// openRequestsAt returns the number of this host's requests that run at targets of a data centre.
func (st *state) openRequestsAt(id chestnutroad.DataCentreID) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.OpenRequests(id)
}

// openAtEvacuated returns the number of this host's requests that run at targets of evacuated data centres.
func (st *state) openAtEvacuated() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.OpenAtEvacuated()
}

func (st *state) hasTargetIn(id chestnutroad.DataCentreID) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pool.HasTargetIn(id)
}

// evacuatedRetryAfter is the Retry-After of a request whose possible targets are all in evacuated data centres. The end of an evacuation
// takes effect within 2 s, so that callers lose no more than they wait anyway.
const evacuatedRetryAfter = 2 * time.Second

// evacuatedRefusal returns the refusal of a request whose possible targets are all in evacuated data centres.
func (en *Entry) evacuatedRefusal(ex *exchange) error {
	counts := en.state.countTargets(en.now(), ex.service)
	ex.targetCounts = &counts
	en.counters.countEvacuated(string(ex.service))
	message := "all data centres with targets of the service are evacuated"
	if ex.criteria.Restricted {
		message = "all data centres with targets of the service in allowed regions are evacuated"
	}
	return chestnutroad.Refuse(chestnutroad.NoTarget, message).WithRetryAfter(evacuatedRetryAfter)
}

// countEvacuated counts a request that was refused because of evacuations.
func (cn *counters) countEvacuated(service string) {
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_requests_refused_evacuated_total{service=%q}", service)).Inc()
}
