package replay

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// startReports makes an engine report its load at regular intervals until it is removed. The first report comes after a
// random part of the interval.
func (tg *target) startReports() {
	if !tg.isEngine() {
		return
	}
	interval := time.Duration(tg.si.tr.Header.ReportIntervalMs) * time.Millisecond
	tg.si.queue.after(time.Duration(tg.si.random.Int64N(int64(interval))), func() { tg.sendReport(interval) })
}

func (tg *target) sendReport(interval time.Duration) {
	if tg.removed || tg.si.queue.now > tg.si.end {
		return
	}
	tg.si.queue.after(interval, func() { tg.sendReport(interval) })
	if !tg.up {
		return
	}
	report := chestnutroad.LoadReport{
		Target: tg.ID, Incarnation: tg.incarnation, Taken: tg.si.time(),
		Running: len(tg.running) + len(tg.waiting), Work: tg.work,
	}
	lag := time.Duration(tg.si.tr.Header.ReportLagMs) * time.Millisecond
	tg.si.queue.after(lag, func() {
		tg.deliver(func(in *instance) []pool.Action { return in.policy.Report(tg.si.time(), report) })
	})
}

// sendCacheEvent announces a change of the cache after the lag that the trace sets. Events are lost at the trace's rate.
func (tg *target) sendCacheEvent(chat chestnutroad.ChatID, cached chestnutroad.Tokens) {
	tg.cacheSequence++
	event := chestnutroad.CacheEvent{
		Target: tg.ID, Incarnation: tg.incarnation, Sequence: tg.cacheSequence, Chat: chat, Cached: cached,
	}
	if tg.si.random.Float64() < tg.si.tr.Header.CacheEventLoss {
		return
	}
	lag := time.Duration(tg.si.tr.Header.CacheEventLagMs) * time.Millisecond
	tg.si.queue.after(lag, func() {
		tg.deliver(func(in *instance) []pool.Action { return in.policy.CacheEvent(tg.si.time(), event) })
	})
}

// deliver passes an engine's report or event to the instances that can be reached and listen to it.
func (tg *target) deliver(notify func(*instance) []pool.Action) {
	for _, in := range tg.si.listeners(tg) {
		if in.live && tg.si.net.reaches(tg.DataCentre, in.dataCentre) {
			in.apply(notify(in))
		}
	}
}
