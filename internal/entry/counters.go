package entry

import (
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/chestnutroad/chestnutroad/internal/attempt"
	"github.com/chestnutroad/chestnutroad/internal/freshness"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// counters holds the host's metrics. Their label values are services, kinds and reasons, whose numbers stay small.
type counters struct {
	set *metrics.Set
	// controlBytes counts the bytes of datagrams sent to other hosts.
	controlBytes *metrics.Counter
	// quarantined counts the requests refused for a suspected prompt part, and crashEvidence the parts accused of crashes.
	quarantined   *metrics.Counter
	crashEvidence *metrics.Counter
	// evidenceWrites counts the writes of crash evidence to the store.
	evidenceWrites *metrics.Counter
	// ignoredFields counts the fields of configurations whose values can't be used.
	ignoredFields *metrics.Counter
	// evacuationsInvalid counts the records and lists of evacuations that can't be read, and unknown data centres in them.
	evacuationsInvalid *metrics.Counter
}

func newCounters() *counters {
	cn := &counters{set: metrics.NewSet()}
	cn.controlBytes = cn.set.NewCounter("chestnutroad_control_bytes_sent_total")
	cn.quarantined = cn.set.NewCounter("chestnutroad_requests_quarantined_total")
	cn.crashEvidence = cn.set.NewCounter("chestnutroad_part_crash_evidence_total")
	cn.evidenceWrites = cn.set.NewCounter("chestnutroad_crash_evidence_writes_total")
	cn.ignoredFields = cn.set.NewCounter("chestnutroad_configuration_fields_ignored_total")
	cn.evacuationsInvalid = cn.set.NewCounter("chestnutroad_evacuations_invalid_total")
	return cn
}

// registerDroppedLines adds a gauge of dropped log lines, whose number count returns.
func (cn *counters) registerDroppedLines(count func() uint64) {
	cn.set.NewGauge("chestnutroad_log_lines_dropped", func() float64 { return float64(count()) })
}

// registerStateGauges adds gauges of the open requests, the configuration's version, the last read and the era of the store, the exchange
// with other hosts, and the targets and connections to them.
func (en *Entry) registerStateGauges() {
	set := en.counters.set
	set.NewGauge("chestnutroad_requests_open", func() float64 { return float64(en.open.count()) })
	set.NewGauge("chestnutroad_configuration_version", func() float64 { return float64(en.state.localStatus(en.now()).Version) })
	set.NewGauge("chestnutroad_store_read_age_seconds", func() float64 {
		return (en.elapsed() - time.Duration(en.lastRead.Load())).Seconds()
	})
	for _, stream := range streams {
		set.NewGauge(fmt.Sprintf("chestnutroad_store_copy_age_seconds{stream=%q}", stream), func() float64 {
			return en.copyAge(stream).Seconds()
		})
	}
	set.NewGauge("chestnutroad_store_era", func() float64 { return float64(en.eras.current()) })
	set.NewGauge("chestnutroad_store_eras_met_total", func() float64 { return float64(en.eras.count()) })
	set.NewGauge("chestnutroad_relaying", func() float64 {
		if en.link.relaying() {
			return 1
		}
		return 0
	})
	set.NewGauge("chestnutroad_parts_suspected", func() float64 { return float64(en.state.suspectCount(en.now())) })
	set.NewGauge("chestnutroad_targets_limited", func() float64 { return float64(en.state.limitedCount()) })
	set.NewGauge("chestnutroad_targets_slow", func() float64 { return float64(en.state.slowCount(en.now())) })
	en.evacuations.registerGauges()
	set.NewGauge("chestnutroad_targets_cold", func() float64 { return float64(en.state.coldCount(en.now())) })
	set.NewGauge("chestnutroad_target_cold_times_invalid_total", func() float64 {
		return float64(en.state.invalidColdTimes.Load())
	})
	set.NewGauge("chestnutroad_counts_unmatched", func() float64 { return float64(en.link.unmatched()) })
	set.NewGauge("chestnutroad_target_connections_opened", func() float64 { return float64(en.targets.Opened()) })
	for _, state := range []string{"Ready", "Leaving", "Evacuated", "Held", "Suspect", "Unreachable"} {
		set.NewGauge(fmt.Sprintf("chestnutroad_targets{state=%q}", state), func() float64 {
			return float64(en.state.targetStates(en.now())[state])
		})
	}
}

// countRetry counts a retry that the retry budget allowed or denied.
func (cn *counters) countRetry(service string, allowed bool) {
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_retries_total{service=%q,allowed=\"%t\"}", service, allowed)).Inc()
}

// countStall counts a target's stall by what followed.
func (cn *counters) countStall(service string, end attempt.StallEnd) {
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_stalls_total{service=%q,end=%q}", service, end)).Inc()
}

// countChoice counts a request that is sent to a target whose estimated load is over its bound.
func (cn *counters) countChoice(service string, choice *placement.Choice) {
	if choice.Load > choice.Bound {
		cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_sends_over_bound_total{service=%q}", service)).Inc()
	}
}

// countThrottled counts a request that admission control refused, and its work in seconds of engine time.
func (cn *counters) countThrottled(service string, rank int, work float64) {
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_admission_refused_total{service=%q,rank=\"%d\"}", service, rank)).Inc()
	cn.set.GetOrCreateFloatCounter(fmt.Sprintf("chestnutroad_admission_refused_work_seconds_total{service=%q}", service)).Add(work)
}

// countLimited counts a choice in which targets were passed over for their limits of requests a second, by whether another one
// was found.
func (cn *counters) countLimited(service string, found bool) {
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_choices_limited_total{service=%q,found=\"%t\"}", service, found)).Inc()
}

// countColdSkipped counts a choice in which cold targets were passed over, by whether another one was found.
func (cn *counters) countColdSkipped(service string, found bool) {
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_choices_cold_skipped_total{service=%q,found=\"%t\"}", service, found)).Inc()
}

// countInvalidLimit counts an answer that states a limit that is no positive number.
func (cn *counters) countInvalidLimit(service string) {
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_target_limits_invalid_total{service=%q}", service)).Inc()
}

// countSend counts a finished send to a target; err is nil when it was answered.
func (cn *counters) countSend(service string, err error) {
	end := "Answered"
	if err != nil {
		end = sendReason(err)
	}
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_sends_total{service=%q,end=%q}", service, end)).Inc()
}

// countIncomplete counts a request whose connection ends without a complete answer.
func (cn *counters) countIncomplete(reason string) {
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_answers_incomplete_total{reason=%q}", reason)).Inc()
}

// countReason counts a change of the reason to read a stream of the store.
func (cn *counters) countReason(stream freshness.Stream, reason freshness.Reason) {
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_store_reading_changes_total{stream=%q,reason=%q}", stream, reason)).Inc()
}

// countRequest counts a finished request and observes its duration.
func (cn *counters) countRequest(ex *exchange, outcome string) {
	service := string(ex.service)
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_requests_total{service=%q,outcome=%q}", service, outcome)).Inc()
	cn.set.GetOrCreateHistogram(fmt.Sprintf("chestnutroad_request_seconds{service=%q}", service)).
		Update(ex.duration.Seconds())
}

// countRemoval counts the removal of a target's entry from the store, which takes effect at once or, if the target may come back, later.
func (cn *counters) countRemoval(delayed bool) {
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_target_removals_total{delayed=%q}", strconv.FormatBool(delayed))).Inc()
}
