package host

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/caller"
	"github.com/chestnutroad/chestnutroad/internal/pool"
	"github.com/chestnutroad/chestnutroad/internal/timeline"
)

// shards returns the shards that can run the request, in order of preference: by rendezvous hashing of the chat for a
// chat, otherwise of the request's ID, with the shard of this host's data centre first.
func (ho *Host) shards(request *chestnutroad.Request) []chestnutroad.ShardID {
	candidates := ho.targets.candidates(request.Service)
	if request.Chat != 0 {
		return pool.RankShards(request.Chat, candidates)
	}
	ranked := pool.RankShards(chestnutroad.ChatID(chestnutroad.HashID(string(request.ID))), candidates)
	for index, id := range ranked {
		if id.DataCentre == ho.settings.DataCentre {
			copy(ranked[1:index+1], ranked[:index])
			ranked[0] = id
			break
		}
	}
	return ranked
}

// forward runs the request on this host if it owns the shard, or else sends it to the shard's current owner.
func (ho *Host) forward(
	ctx context.Context, id chestnutroad.ShardID, request *chestnutroad.Request, call *chestnutroad.Call,
	answer chestnutroad.Answer, redirects int,
) error {
	if local := ho.ownership.localShard(id); local != nil {
		return local.run(ctx, request, call, answer, redirects)
	}
	owner, found := ho.ownership.ownerOf(id, ho.peers.Hosts())
	if !found || owner.ID == ho.settings.ID {
		return errNotOwner
	}
	ho.record(timeline.Event{
		Type: timeline.Forwarded, Request: request.ID, Shard: id.String(), Detail: "to " + string(owner.ID),
	})
	return ho.peers.Forward(ctx, owner, id, request, call, answer, redirects)
}

// serveForwarded runs a request that another host has forwarded to this one as the shard's owner.
func (ho *Host) serveForwarded(
	ctx context.Context, id chestnutroad.ShardID, request *chestnutroad.Request, call *chestnutroad.Call,
	answer chestnutroad.Answer, redirects int,
) error {
	local := ho.ownership.localShard(id)
	if local == nil {
		return errNotOwner
	}
	return local.run(ctx, request, call, answer, redirects)
}

// currentDirectory returns the directory of the configuration in force, or nil before there is one. The explicit nil
// keeps a nil *directory out of the interface.
func (ho *Host) currentDirectory() chestnutroad.Directory {
	if di := ho.directory.Load(); di != nil {
		return di
	}
	return nil
}

// Forward passes a caller's request to the entry, and counts and records it.
func (ho *Host) Forward(
	ctx context.Context, request *chestnutroad.Request, call *chestnutroad.Call, answer chestnutroad.Answer,
) error {
	ho.counters.open.Add(1)
	defer ho.counters.open.Add(-1)
	ho.record(timeline.Event{Type: timeline.Received, Request: request.ID, Detail: string(request.Service)})
	err := ho.entry.Forward(ctx, request, call, answer)
	if errors.Is(err, errNotOwner) {
		err = chestnutroad.Refuse(chestnutroad.NoTarget, "the shard has no owner at the moment").WithRetryAfter(noOwnerRetry)
	}
	ho.record(endEvent(request, err))
	return err
}

// endEvent returns the timeline event for the end of a caller's request.
func endEvent(request *chestnutroad.Request, err error) timeline.Event {
	if err == nil {
		return timeline.Event{Type: timeline.Answered, Request: request.ID}
	}
	return timeline.Event{Type: timeline.Refused, Request: request.ID, Detail: err.Error()}
}

// newCallers returns the server for callers' requests.
func (ho *Host) newCallers() *caller.Server {
	return caller.New(ho.currentDirectory, ho, caller.WithObserver(ho.observeExchange),
		caller.WithReady(func() bool { return !ho.refusing.Load() }), caller.WithClosing(ho.draining.Load))
}
