package configcheck

import "fmt"

// The highest plausible values. The decoder cuts times off at maxMS and maxColdS; the others are far above what a site needs, so that a
// value above them has a wrong unit.
const (
	maxMS          = 24 * 60 * 60 * 1000
	maxColdS       = 60 * 60
	maxAttempts    = 100
	maxCount       = 1e6
	maxTokens      = 1e9
	maxHeaderBytes = 1 << 20
	maxBodyBytes   = 1 << 30
)

// bound reports a value that is negative or above the highest plausible one.
func (rp *reporter) bound(path string, value, highest float64) {
	switch {
	case value < 0:
		rp.addf(path, "%g is negative; hosts can't use it as stated", value)
	case value > highest:
		rp.addf(path, "%g is above %g, the highest plausible value; the unit or the number of digits is probably wrong", value, highest)
	}
}

func checkRanges(dc *document, rp *reporter) {
	for index, rt := range dc.Routes {
		path := fmt.Sprintf("routes[%d].", index)
		rp.bound(path+"timeout_ms", rt.TimeoutMS, maxMS)
		rp.bound(path+"latency_goal_ms", rt.LatencyGoalMS, maxMS)
		rp.bound(path+"itl_target_ms", rt.ITLTargetMS, maxMS)
		rp.bound(path+"max_attempts", float64(rt.MaxAttempts), maxAttempts)
	}
	for index, sv := range dc.Services {
		path := fmt.Sprintf("services[%d].", index)
		rp.bound(path+"max_connections", float64(sv.MaxConnections), maxCount)
		rp.bound(path+"cold_start_s", sv.ColdStartS, maxColdS)
		rp.bound(path+"cold_per_s", sv.ColdPerS, maxCount)
		if sv.Engine != nil {
			rp.bound(path+"inference_engine.slots", float64(sv.Engine.Slots), maxCount)
			rp.bound(path+"inference_engine.kv_capacity_tokens", float64(sv.Engine.KVCapacityTokens), maxTokens)
		}
	}
	rp.bound("limits.max_header_bytes", float64(dc.Limits.MaxHeaderBytes), maxHeaderBytes)
	rp.bound("limits.max_body_bytes", float64(dc.Limits.MaxBodyBytes), maxBodyBytes)
	rp.bound("limits.header_timeout_ms", dc.Limits.HeaderTimeoutMS, maxMS)
	rp.bound("limits.idle_timeout_ms", dc.Limits.IdleTimeoutMS, maxMS)
}
