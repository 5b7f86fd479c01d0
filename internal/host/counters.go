package host

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/caller"
)

// counters holds the number of callers' requests that are open, and that completed or were refused since the start.
type counters struct {
	open      atomic.Int64
	completed atomic.Uint64
	refused   atomic.Uint64
}

// observeExchange counts a finished exchange with a caller and logs its refusal.
func (ho *Host) observeExchange(ex *caller.Exchange, refusal *chestnutroad.Refusal) {
	labels := `{service="` + string(ex.Route.Service) + `",kind="` + kindLabel(refusal) + `"}`
	ho.metrics.GetOrCreateCounter("chestnutroad_requests_total" + labels).Inc()
	ho.metrics.GetOrCreateHistogram(`chestnutroad_request_seconds{service="` + string(ex.Route.Service) + `"}`).
		UpdateDuration(ex.Started)
	if refusal == nil {
		ho.counters.completed.Add(1)
		return
	}
	ho.counters.refused.Add(1)
	ho.logger.Debug("request refused", "Request", ex.Request.ID, "Team", ex.Team, "Service", ex.Route.Service,
		"Kind", refusal.Kind, "NotRun", refusal.NotRun, "Message", refusal.Message)
}

func kindLabel(refusal *chestnutroad.Refusal) string {
	if refusal == nil {
		return ""
	}
	return string(refusal.Kind)
}

// newMetrics returns the host's metrics. Gauges are evaluated when the metrics are written.
func (ho *Host) newMetrics() *metrics.Set {
	set := metrics.NewSet()
	set.NewGauge("chestnutroad_requests_open", func() float64 { return float64(ho.counters.open.Load()) })
	set.NewGauge("chestnutroad_configuration_version", func() float64 { return float64(ho.configuration.version()) })
	set.NewGauge("chestnutroad_shards_owned", func() float64 { return float64(len(ho.ownership.ownedShards())) })
	return set
}
