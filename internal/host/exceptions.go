package host

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/host/hostpb"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

const (
	exceptionInterval = 500 * time.Millisecond
	// exceptionsPerMessage keeps messages near 300 bytes.
	exceptionsPerMessage = 20
	// maxStoredExceptions limits the exceptions that a host stores for one shard that it may take over.
	maxStoredExceptions = 20_000
)

// exceptionStore holds the placement exceptions of one shard that another host owns and this one may take over.
type exceptionStore struct {
	// exceptions holds the exceptions, oldest first; placements holds the latest target of each of their chats.
	exceptions []pool.PlacementException
	placements map[chestnutroad.ChatID]chestnutroad.TargetID
}

// add stores the exceptions. Once there are more than maxStoredExceptions, it drops the oldest maxStoredExceptions/2.
func (es *exceptionStore) add(exceptions []pool.PlacementException) {
	if es.placements == nil {
		es.placements = map[chestnutroad.ChatID]chestnutroad.TargetID{}
	}
	for _, exception := range exceptions {
		es.exceptions = append(es.exceptions, exception)
		es.placements[exception.Chat] = exception.Target
	}
	if len(es.exceptions) <= maxStoredExceptions {
		return
	}
	es.exceptions = append([]pool.PlacementException(nil), es.exceptions[maxStoredExceptions/2:]...)
	es.placements = map[chestnutroad.ChatID]chestnutroad.TargetID{}
	for _, exception := range es.exceptions {
		es.placements[exception.Chat] = exception.Target
	}
}

// sendExceptions sends new placement exceptions of the owned shards, chats that are not at their first target in
// rendezvous order, to the host that would take each shard over.
func (ho *Host) sendExceptions() {
	hosts := ho.peers.Hosts()
	for _, sh := range ho.ownership.ownedShards() {
		next, found := ho.successor(sh.id, hosts)
		if !found {
			continue
		}
		if exceptions := sh.nextExceptions(); len(exceptions) > 0 {
			ho.peers.SendExceptions(next, sh.id, exceptions)
		}
	}
}

// successor returns the host that takes the shard over if this one dies: the first other one in rendezvous order.
func (ho *Host) successor(id chestnutroad.ShardID, hosts []member.HostView) (chestnutroad.HostID, bool) {
	for _, host := range ho.ownership.rank(id, hosts) {
		if host != ho.settings.ID {
			return host, true
		}
	}
	return "", false
}

// nextExceptions returns the oldest exceptions that were not sent yet, as many as one message holds.
func (sh *ownedShard) nextExceptions() []pool.PlacementException {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.owner.PopExceptions(exceptionsPerMessage)
}

// storeExceptions stores placement exceptions of a shard that this host may take over.
func (ow *ownership) storeExceptions(id chestnutroad.ShardID, exceptions []pool.PlacementException) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	store := ow.exceptions[id]
	if store == nil {
		store = &exceptionStore{}
		ow.exceptions[id] = store
	}
	store.add(exceptions)
}

// applyExceptions applies the stored exceptions to a shard that this host takes over. If the former owner's state was
// fetched, it is newer, and the exceptions are only dropped.
func (ow *ownership) applyExceptions(sh *ownedShard, fetched bool) {
	ow.mu.Lock()
	store := ow.exceptions[sh.id]
	delete(ow.exceptions, sh.id)
	ow.mu.Unlock()
	if store == nil || fetched {
		return
	}
	sh.decide(func(now time.Time, owner *pool.Owner) []pool.Action {
		for chat, target := range store.placements {
			owner.ApplyException(now, pool.PlacementException{Chat: chat, Target: target})
		}
		return nil
	})
}

// SendExceptions sends placement exceptions to another host within the control budget.
func (sl *siteLink) SendExceptions(to chestnutroad.HostID, id chestnutroad.ShardID, exceptions []pool.PlacementException) {
	message := &hostpb.PlacementExceptions{
		Service: string(id.Pool.Service), DataCentre: string(id.DataCentre),
	}
	indices := map[chestnutroad.TargetID]uint32{}
	for _, exception := range exceptions {
		targetIndex, found := indices[exception.Target]
		if !found {
			targetIndex = uint32(len(message.Targets))
			indices[exception.Target] = targetIndex
			message.Targets = append(message.Targets, string(exception.Target))
		}
		message.Chats = append(message.Chats, uint64(exception.Chat))
		message.Places = append(message.Places, targetIndex)
	}
	if data, err := proto.Marshal(message); err == nil {
		sl.SendPayload(to, member.PlacementException, data)
	}
}

var errMalformedExceptions = errors.New("placement exceptions: the index of a target is missing or out of range")

// decodeExceptions decodes the placement exceptions of a shard of the site.
func decodeExceptions(site chestnutroad.SiteID, data []byte) (chestnutroad.ShardID, []pool.PlacementException, error) {
	var message hostpb.PlacementExceptions
	if err := proto.Unmarshal(data, &message); err != nil {
		return chestnutroad.ShardID{}, nil, errors.Wrap(err, "decode placement exceptions")
	}
	id := chestnutroad.ShardID{
		Pool:       chestnutroad.PoolID{Site: site, Service: chestnutroad.ServiceID(message.GetService())},
		DataCentre: chestnutroad.DataCentreID(message.GetDataCentre()),
	}
	if len(message.GetPlaces()) != len(message.GetChats()) {
		return id, nil, errMalformedExceptions
	}
	exceptions := make([]pool.PlacementException, 0, len(message.GetChats()))
	for index, chat := range message.GetChats() {
		targetIndex := int(message.GetPlaces()[index])
		if targetIndex >= len(message.GetTargets()) {
			return id, nil, errMalformedExceptions
		}
		target := chestnutroad.TargetID(message.GetTargets()[targetIndex])
		exceptions = append(exceptions, pool.PlacementException{Chat: chestnutroad.ChatID(chat), Target: target})
	}
	return id, exceptions, nil
}
