package host

import (
	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/operator"
)

// newOperators returns the handler of the operator listener.
func (ho *Host) newOperators() *operator.Handler {
	return operator.New(
		operator.WithMetrics(ho.metrics),
		operator.WithReadiness(ho.notReady),
		operator.WithStatus(ho.status),
		operator.WithProfiling(ho.settings.Profiling),
	)
}

// notReady returns the reasons why the host should get no requests; a partial reason concerns only some of them.
func (ho *Host) notReady() []operator.Reason {
	var reasons []operator.Reason
	if ho.draining.Load() {
		reasons = append(reasons, operator.Reason{Part: "Host", Message: "the host is shutting down"})
	}
	if ho.directory.Load() == nil {
		return append(reasons, operator.Reason{Part: "Configuration", Message: "no configuration is in force yet"})
	}
	if len(ho.targets.shards()) == 0 {
		reasons = append(reasons, operator.Reason{Part: "Targets", Message: "no target is listed yet"})
	}
	for _, id := range ho.targets.shards() {
		if ho.peers.Epoch(id).IsZero() && ho.ownership.localShard(id) == nil {
			message := "the shard " + id.String() + " has no owner yet"
			reasons = append(reasons, operator.Reason{Part: "Shards", Message: message, Partial: true})
		}
	}
	if ho.ownedOrderShards() > 0 && !ho.orders.ready() {
		reasons = append(reasons, operator.Reason{Part: "Orders", Message: "the order log has not been read yet", Partial: true})
	}
	return reasons
}

// status returns the host's state for operators.
func (ho *Host) status() operator.Status {
	available, lastRead := ho.configuration.logAvailable()
	highest, offset := ho.peers.Version()
	return operator.Status{
		Host:        ho.settings.ID,
		Site:        ho.settings.Site,
		DataCentre:  ho.settings.DataCentre,
		Incarnation: ho.incarnation,
		Started:     ho.started,
		Draining:    ho.draining.Load(),
		NotReady:    ho.notReady(),
		Configuration: operator.Configuration{
			Version: ho.configuration.version(), Offset: offset, HighestSeen: highest,
		},
		Log:     operator.LogStatus{Available: available, LastRead: lastRead, OrdersBase: ho.orders.ready()},
		Members: ho.memberStatus(),
		Shards:  ho.shardStatus(),
		Control: ho.controlStatus(),
		Requests: operator.Requests{
			Open: ho.counters.open.Load(), Completed: ho.counters.completed.Load(), Refused: ho.counters.refused.Load(),
		},
	}
}

// controlStatus returns the control traffic since the start, summed over the priorities that the sender counts.
func (ho *Host) controlStatus() operator.Control {
	bytes := ho.metrics.GetOrCreateCounter(`chestnutroad_control_bytes_total{priority="KeepAlive"}`).Get()
	dropped := uint64(0)
	for index := range member.PriorityCount {
		label := `{priority="` + member.Priority(index).String() + `"}`
		bytes += ho.metrics.GetOrCreateCounter("chestnutroad_control_bytes_total" + label).Get()
		dropped += ho.metrics.GetOrCreateCounter("chestnutroad_control_dropped_total" + label).Get()
	}
	return operator.Control{
		BytesPerSecond: float64(bytes) / ho.now().Sub(ho.started).Seconds(),
		Budget:         member.DefaultBudgetRate,
		Dropped:        dropped,
	}
}

func (ho *Host) memberStatus() []operator.Member {
	hosts := ho.peers.Hosts()
	members := make([]operator.Member, 0, len(hosts))
	for _, view := range hosts {
		members = append(members, operator.Member{
			Host: view.ID, DataCentre: view.DataCentre, Address: view.PeerAddress,
			State: view.State.String(), Incarnation: view.Incarnation,
		})
	}
	return members
}

func (ho *Host) shardStatus() []operator.Shard {
	hosts := ho.peers.Hosts()
	ids := ho.targets.shards()
	shards := make([]operator.Shard, 0, len(ids))
	for _, id := range ids {
		owner, _ := ho.ownership.ownerOf(id, hosts)
		status := operator.Shard{
			Pool: id.Pool.String(), DataCentre: id.DataCentre, Owner: owner.ID, Epoch: ho.peers.Epoch(id).Millis,
		}
		if local := ho.ownership.localShard(id); local != nil {
			addOwnerStatus(&status, local, ho.settings.ID)
		}
		shards = append(shards, status)
	}
	return shards
}

// addOwnerStatus adds the state that only the shard's owner has: placements, queue lengths and targets.
func addOwnerStatus(status *operator.Shard, local *ownedShard, self chestnutroad.HostID) {
	state := local.status()
	status.Own = true
	status.Owner = self
	status.Placements = state.Chats
	for _, queue := range state.Queues {
		status.Queued += queue.Waiting
	}
	for _, target := range state.Targets {
		status.Targets = append(status.Targets, operator.Target{
			Target: target.ID, State: targetState(target.Leaving, target.Ejected, target.Listed),
			Running: target.Running, Work: target.Load,
		})
	}
}

func targetState(leaving, ejected, listed bool) string {
	switch {
	case leaving:
		return "Leaving"
	case !listed:
		return "Gone"
	case ejected:
		return "Ejected"
	default:
		return "Active"
	}
}
