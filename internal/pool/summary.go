package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// maxRedirects is the number of redirects that a request may follow.
const maxRedirects = 3

// remoteShard is the owner's state of another shard of its pool.
type remoteShard struct {
	shard       chestnutroad.ShardID
	location    locationIndex
	lastSummary Summary
	receivedAt  time.Time
	drainRate   float64 // work units per second between the last two summaries
	// redirectedWork is the work redirected to the shard since its last summary.
	redirectedWork chestnutroad.WorkUnits
}

func (rs *remoteShard) fresh(now time.Time, maxAge time.Duration) bool {
	return rs.lastSummary.Targets > 0 && now.Sub(rs.receivedAt) <= maxAge
}

// minWork returns the least work that the shard may have by now: that of its last summary less what it drains since then
// at drainRate.
func (rs *remoteShard) minWork(now time.Time) float64 {
	return max(0, float64(rs.lastSummary.Work)-rs.drainRate*max(0, now.Sub(rs.receivedAt).Seconds()))
}

// meanLoad returns the load per target of the shard, including the work redirected to it since its last summary.
func (rs *remoteShard) meanLoad() float64 {
	return float64(rs.lastSummary.Work+rs.redirectedWork) / float64(rs.lastSummary.Targets)
}

// Summary returns the shard's load for the owners of the pool's other shards.
func (ow *Owner) Summary(now time.Time) Summary {
	pl := ow.shardLoad(now)
	return Summary{
		Shard: ow.shard, Epoch: ow.epoch, Taken: now, Drained: ow.drain.total,
		Targets: int(pl.targets), Work: chestnutroad.WorkUnits(pl.work), Queued: ow.queue.length,
	}
}

// summaryRefresh is the age at which an unchanged summary is sent again. It is below half of the default SummaryMaxAge
// of 1 s, so that one lost datagram does not make the summary too old.
const summaryRefresh = 450 * time.Millisecond

// Due reports whether the summary should be sent: it differs from the last one sent, or that one is older than
// summaryRefresh.
func (sm Summary) Due(last Summary) bool {
	changed := sm.Work != last.Work || sm.Targets != last.Targets || sm.Queued != last.Queued || sm.Epoch != last.Epoch
	return changed || sm.Taken.Sub(last.Taken) >= summaryRefresh
}

// PeerSummary applies the load of another shard of the pool. Its age counts from its receipt, since clocks differ.
func (ow *Owner) PeerSummary(now time.Time, summary Summary) []Action {
	if summary.Shard == ow.shard || summary.Shard.Pool != ow.shard.Pool {
		return nil
	}
	rs := ow.ensureRemote(summary.Shard)
	if !summary.newer(rs.lastSummary) {
		return nil
	}
	rs.update(now, summary)
	return ow.reconcile(now, nil)
}

func (sm Summary) newer(other Summary) bool {
	if order := sm.Epoch.Compare(other.Epoch); order != 0 {
		return order > 0
	}
	return sm.Taken.After(other.Taken)
}

// update applies a newer summary. Drained counts only finished requests; where the work fell by more than that, the fall
// gives the drain rate.
func (rs *remoteShard) update(now time.Time, summary Summary) {
	elapsed := summary.Taken.Sub(rs.lastSummary.Taken).Seconds()
	rs.drainRate = 0
	if rs.lastSummary.Epoch == summary.Epoch && elapsed > 0 && !rs.receivedAt.IsZero() {
		drained := max(summary.Drained-rs.lastSummary.Drained, rs.lastSummary.Work-summary.Work)
		rs.drainRate = max(0, float64(drained)/elapsed)
	}
	rs.lastSummary = summary
	rs.receivedAt = now
	rs.redirectedWork = 0
}

// ensureRemote returns the state of another shard, which it adds if needed.
func (ow *Owner) ensureRemote(shard chestnutroad.ShardID) *remoteShard {
	for _, rs := range ow.remotes {
		if rs.shard == shard {
			return rs
		}
	}
	rs := &remoteShard{shard: shard, location: locationIndex(len(ow.locations))}
	ow.locations = append(ow.locations, location{remote: rs})
	ow.remotes = append(ow.remotes, rs)
	return rs
}

func (ow *Owner) freshRemotes(now time.Time) int {
	fresh := 0
	for _, rs := range ow.remotes {
		if rs.fresh(now, ow.settings.summaryMaxAge) {
			fresh++
		}
	}
	return fresh
}

// redirectShard returns the shard with the lowest mean load that admits the request and, if this shard has an eligible
// target, is below this shard's mean load. A request that has followed maxRedirects gets none.
func (ow *Owner) redirectShard(now time.Time, rq *request) (*remoteShard, bool) {
	if rq.redirects >= maxRedirects {
		return nil, false
	}
	own := ow.shardLoad(now)
	var lowest *remoteShard
	for _, rs := range ow.remotes {
		if own.targets > 0 && rs.meanLoad() >= own.mean() {
			continue
		}
		if (lowest == nil || rs.meanLoad() < lowest.meanLoad()) && ow.admits(now, rs, rq) {
			lowest = rs
		}
	}
	return lowest, lowest != nil
}

// admits reports whether the shard's average target, and so its least loaded one, would admit the request.
func (ow *Owner) admits(now time.Time, rs *remoteShard, rq *request) bool {
	if rs.lastSummary.Queued > 0 || !rs.fresh(now, ow.settings.summaryMaxAge) {
		return false
	}
	return ow.settings.fits(chestnutroad.WorkUnits(rs.meanLoad()), rq.workWith(0), ow.admissionLoad(now))
}

// placementShard returns the shard to which the chat was last redirected and where its context is, or nil.
func (ow *Owner) placementShard(rq *request) *remoteShard {
	if rq.Chat == 0 {
		return nil
	}
	en, found := ow.table.get(rq.Chat)
	if !found {
		return nil
	}
	return ow.locations[en.location].remote
}

func (ow *Owner) redirect(now time.Time, rq *request, rs *remoteShard) Action {
	if ow.queued(rq) {
		ow.queue.remove(rq)
		delete(ow.requests, rq.ID)
	}
	rs.redirectedWork += rq.workWith(0)
	ow.counts.Redirected++
	if rq.Chat != 0 {
		ow.table.put(now, rq.Chat, rs.location, 0)
	}
	return Action{Type: ActionRedirect, Request: rq.ID, Shard: rs.shard, Resume: rq.resume}
}
