package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Status is the state of an owner for operators.
type Status struct {
	Shard       chestnutroad.ShardID
	Epoch       chestnutroad.Epoch
	SteppedDown bool
	// Mean is the mean load over the targets that the owner can reach, in other shards too.
	Mean float64
	// Reachable is the number of those targets.
	Reachable int
	Targets   []TargetStatus
	Queues    []QueueStatus
	Remotes   []RemoteStatus
	Chats     int
	Counts    Counts
}

// TargetStatus is the state of one target.
type TargetStatus struct {
	ID          chestnutroad.TargetID
	Incarnation chestnutroad.Incarnation
	// Booked is the owner's own work on the target; Load adds other owners' work according to the reports.
	Booked  chestnutroad.WorkUnits
	Load    chestnutroad.WorkUnits
	Running int
	Weight  float64
	Listed  bool
	Leaving bool
	Ejected bool
	// Over is true when the target is above the bound.
	Over bool
}

// QueueStatus is the state of one team's queue in one priority.
type QueueStatus struct {
	Priority chestnutroad.Priority
	Team     chestnutroad.TeamID
	Waiting  int
}

// RemoteStatus is the last summary of another shard.
type RemoteStatus struct {
	Summary Summary
	Fresh   bool
}

// Status returns the owner's state.
func (ow *Owner) Status(now time.Time) Status {
	pl := ow.reportedLoad(now)
	st := Status{
		Shard: ow.shard, Epoch: ow.epoch, SteppedDown: ow.steppedDown,
		Mean: pl.mean(), Reachable: int(pl.targets), Chats: ow.table.size, Counts: ow.counts,
	}
	for _, tg := range ow.targets {
		st.Targets = append(st.Targets, ow.targetStatus(now, tg, pl))
	}
	for index := range ow.queue.classes {
		st.Queues = append(st.Queues, ow.queue.classes[index].status(chestnutroad.Priority(index))...)
	}
	for _, rs := range ow.remotes {
		st.Remotes = append(st.Remotes, RemoteStatus{Summary: rs.lastSummary, Fresh: rs.fresh(now, ow.settings.summaryMaxAge)})
	}
	return st
}

func (ow *Owner) targetStatus(now time.Time, tg *target, pl poolLoad) TargetStatus {
	return TargetStatus{
		ID: tg.id, Incarnation: tg.incarnation, Booked: tg.bookedWork, Load: ow.load(now, tg), Running: len(tg.running),
		Weight: tg.weight(now, ow.settings.slowStart), Listed: tg.listed, Leaving: tg.leaving(),
		Ejected: tg.ejected(now), Over: tg.eligible(now) && ow.settings.aboveBound(ow.load(now, tg), tg.largestRequest(), pl),
	}
}

func (pq *priorityQueue) status(priority chestnutroad.Priority) []QueueStatus {
	queues := make([]QueueStatus, 0, len(pq.active))
	for _, tq := range pq.active {
		queues = append(queues, QueueStatus{Priority: priority, Team: tq.team, Waiting: len(tq.waiting)})
	}
	return queues
}
