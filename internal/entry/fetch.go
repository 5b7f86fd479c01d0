package entry

import (
	"fmt"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/kvfetch"
	"github.com/chestnutroad/chestnutroad/internal/placement"
	"github.com/chestnutroad/chestnutroad/internal/quarantine"
)

// setFetchProfile sets whether, and by which figures, engines may fetch the KV cache of the exchange's prompt.
func (ex *exchange) setFetchProfile(mode kvfetch.Mode, spec *chestnutroad.EngineSpec) {
	parts := ex.callMetadata.Parts
	ex.criteria.SharedParts = parts[:max(0, len(parts)-1)]
	ex.fetch = kvfetch.NewProfile(mode, spec)
}

// fetchProfile returns the figures by which fetches are judged for the next choice of a target. They are zero while the request or a
// part of its prompt is suspected of crashing targets: the cache that another engine made of it might crash the target as well.
func (en *Entry) fetchProfile(ex *exchange) kvfetch.Profile {
	if !ex.fetch.Enabled() || en.state.suspected(en.now(), ex.features()) {
		return kvfetch.Profile{}
	}
	return ex.fetch
}

// recordIgnored counts and logs the fields of a configuration whose values can't be used.
func (en *Entry) recordIgnored(cf *chestnutroad.Configuration) {
	if len(cf.Ignored) == 0 {
		return
	}
	en.counters.ignoredFields.Add(len(cf.Ignored))
	en.logger.Warn("fields of the configuration can't be used and count as missing", "Version", cf.Version, "Fields", cf.Ignored)
}

// countFetch counts a send that names a source, and the bytes that are expected to be fetched.
func (cn *counters) countFetch(service string, fetch *placement.Fetch) {
	if fetch.Target == "" {
		return
	}
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_kv_fetches_total{service=%q,reason=%q}", service, fetch.Reason)).Inc()
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_kv_fetch_bytes_total{service=%q}", service)).AddInt64(int64(fetch.Bytes))
}

func (st *state) suspected(now time.Time, request *quarantine.Request) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.suspects.Suspected(now, request)
}

// confirmParts records that a target has run the request, and so has its shared parts.
func (st *state) confirmParts(now time.Time, criteria *placement.Request, entry *chestnutroad.TargetEntry) {
	if !criteria.Fetch.Enabled() {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.ConfirmParts(now, criteria, entry)
}

// markCrashed records that a target ended under a request.
func (st *state) markCrashed(entry *chestnutroad.TargetEntry) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pool.MarkCrashed(entry)
}
