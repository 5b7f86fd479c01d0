package entry

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
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

func (cn *counters) finished(ex *exchange, outcome string) {
	service := string(ex.service)
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_requests_total{service=%q,outcome=%q}", service, outcome)).Inc()
	cn.set.GetOrCreateHistogram(fmt.Sprintf("chestnutroad_request_seconds{service=%q}", service)).
		Update(ex.took.Seconds())
}
