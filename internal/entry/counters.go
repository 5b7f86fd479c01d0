package entry

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// counters are the host's metrics; their labels are services, kinds and reasons, which stay few.
type counters struct {
	set  *metrics.Set
	open atomic.Int64
	// controlBytes counts the bytes of datagrams to other hosts.
	controlBytes *metrics.Counter
}

func newCounters() *counters {
	cn := &counters{set: metrics.NewSet()}
	cn.controlBytes = cn.set.NewCounter("chestnutroad_control_bytes_sent_total")
	cn.set.NewGauge("chestnutroad_requests_open", func() float64 { return float64(cn.open.Load()) })
	return cn
}

// droppedLines adds the count of dropped log lines.
func (cn *counters) droppedLines(count func() uint64) {
	cn.set.NewGauge("chestnutroad_log_lines_dropped", func() float64 { return float64(count()) })
}

// watchState adds what the host believes: the configuration, the age of the targets, their number and the hosts.
func (en *Entry) watchState() {
	set := en.counters.set
	set.NewGauge("chestnutroad_configuration_version", func() float64 { return float64(en.state.localStatus(en.now()).Version) })
	set.NewGauge("chestnutroad_store_read_age_seconds", func() float64 {
		return (en.elapsed() - time.Duration(en.lastRead.Load())).Seconds()
	})
	set.NewGauge("chestnutroad_store_era", func() float64 { return float64(en.eras.current()) })
	set.NewGauge("chestnutroad_store_eras_met_total", func() float64 { return float64(en.eras.count()) })
	set.NewGauge("chestnutroad_relaying", func() float64 {
		if en.link.relaying() {
			return 1
		}
		return 0
	})
	set.NewGauge("chestnutroad_counts_unmatched", func() float64 { return float64(en.link.unmatched()) })
	set.NewGauge("chestnutroad_target_connections_opened", func() float64 { return float64(en.targets.Opened()) })
	for _, state := range []string{"Ready", "Leaving", "Held", "Suspect", "Unreachable"} {
		set.NewGauge(fmt.Sprintf("chestnutroad_targets{state=%q}", state), func() float64 {
			return float64(en.state.targetStates(en.now())[state])
		})
	}
}

// retried counts a retry, or one that the budget did not allow.
func (cn *counters) retried(service string, allowed bool) {
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_retries_total{service=%q,allowed=\"%t\"}", service, allowed)).Inc()
}

// chosen counts a request that is sent to a target believed to hold more than its bound.
func (cn *counters) chosen(service string, choice *placement.Choice) {
	if choice.Load > choice.Bound {
		cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_sends_over_bound_total{service=%q}", service)).Inc()
	}
}

// sent counts the end of a send to a target.
func (cn *counters) sent(service string, reason error) {
	text := "Answered"
	if reason != nil {
		text = sendReason(reason)
	}
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_sends_total{service=%q,end=%q}", service, text)).Inc()
}

func (cn *counters) finished(ex *exchange, outcome string) {
	service := string(ex.service)
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_requests_total{service=%q,outcome=%q}", service, outcome)).Inc()
	cn.set.GetOrCreateHistogram(fmt.Sprintf("chestnutroad_request_seconds{service=%q}", service)).
		Update(ex.took.Seconds())
}
