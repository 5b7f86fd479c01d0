package entry

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/kvfetch"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/placement"
	"github.com/chestnutroad/chestnutroad/internal/relay"
)

// setLocality sets whether load and costs decide which requests leave the data centre; st.mu must be held.
func (st *state) setLocality(cf *chestnutroad.Configuration) {
	fetching := !st.disabled.Off(mechanism.KVFetch) && slices.ContainsFunc(cf.Services, func(spec chestnutroad.ServiceSpec) bool {
		return kvfetch.NewProfile(st.kvFetch, spec.Engine).Enabled()
	})
	st.pool.Configure(placement.WithLocality(st.remoteTraffic.Enabled(fetching)))
}

// countIn returns the number of hosts in a data centre.
func countIn(hosts []relay.Host, dataCentre chestnutroad.DataCentreID) int {
	count := 0
	for index := range hosts {
		if hosts[index].DataCentre == dataCentre {
			count++
		}
	}
	return count
}

// setCentreHostCount sets the number of hosts of the own data centre.
func (st *state) setCentreHostCount(count int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.SetCentreHostCount(count)
}

// observeDuration records how long a target took for a request of the service.
func (st *state) observeDuration(service chestnutroad.ServiceID, duration time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.ObserveDuration(service, duration)
}

// tokenBytes is the usual size of the text of a generated token.
const tokenBytes = 4

// traffic returns the size of the request and the expected answer.
func (ex *exchange) traffic() chestnutroad.Bytes {
	return chestnutroad.Bytes(len(ex.body)) + tokenBytes*chestnutroad.Bytes(max(0, ex.callMetadata.Output))
}

// observeSides updates the shares of requests that leave the data centre after a message of counts, and logs those that changed by more
// than a tenth.
func (en *Entry) observeSides(now time.Time) {
	en.state.mu.Lock()
	reports := en.state.pool.ObserveSides(now)
	en.state.mu.Unlock()
	for index := range reports {
		rep := &reports[index]
		en.registerLocalityGauge(rep.Service)
		if rep.Notable {
			en.logger.Info("share of requests that leave the data centre changed", "Service", rep.Service, "Share", rep.Share,
				"Local", rep.Local, "Remote", rep.Remote, "Limit", rep.Limit, "Weight", rep.Weight)
		}
	}
}

// registerLocalityGauge adds a gauge of the share of a service's requests that leave because of the load, if it is missing.
func (en *Entry) registerLocalityGauge(service chestnutroad.ServiceID) {
	en.counters.set.GetOrCreateGauge(fmt.Sprintf("chestnutroad_leaving_share{service=%q}", service), func() float64 {
		en.state.mu.Lock()
		defer en.state.mu.Unlock()
		return float64(en.state.pool.LocalityShare(en.now(), service))
	})
}

// countLocality counts a request that leaves the data centre by reason.
func (cn *counters) countLocality(service string, lc *placement.Locality) {
	if !lc.Decided || !lc.Leaves {
		return
	}
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_requests_left_total{service=%q,reason=%q}", service, lc.Reason)).Inc()
}
