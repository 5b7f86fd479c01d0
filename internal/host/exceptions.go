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
	// exceptionsPerMessage keeps a message near 300 bytes.
	exceptionsPerMessage = 20
	// maxStoredExceptions bounds what a host keeps of one shard that it may take over.
	maxStoredExceptions = 20_000
)

// exceptionStore keeps the placement exceptions of shards that other hosts own and this one would take over.
type exceptionStore struct {
	order  []pool.PlacementException
	places map[chestnutroad.ChatID]chestnutroad.TargetID
}

// add records the exceptions; the oldest half is dropped when there are too many.
func (es *exceptionStore) add(exceptions []pool.PlacementException) {
	if es.places == nil {
		es.places = map[chestnutroad.ChatID]chestnutroad.TargetID{}
	}
	for _, exception := range exceptions {
		es.order = append(es.order, exception)
		es.places[exception.Chat] = exception.Target
	}
	if len(es.order) <= maxStoredExceptions {
		return
	}
	es.order = append([]pool.PlacementException(nil), es.order[maxStoredExceptions/2:]...)
	es.places = map[chestnutroad.ChatID]chestnutroad.TargetID{}
	for _, exception := range es.order {
		es.places[exception.Chat] = exception.Target
	}
}

// sendExceptions tells the next host in line about chats that a shard's owner placed away from their first target.
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

// successor returns the host that takes the shard over when this one dies.
func (ho *Host) successor(id chestnutroad.ShardID, hosts []member.HostView) (chestnutroad.HostID, bool) {
	for _, host := range ho.ownership.rank(id, hosts) {
		if host != ho.settings.ID {
			return host, true
		}
	}
	return "", false
}

func (sh *ownedShard) nextExceptions() []pool.PlacementException {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.owner.PopExceptions(exceptionsPerMessage)
}

// storeExceptions records exceptions of a shard that this host may take over.
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

// applyExceptions gives a shard that was taken over what is known of its chats. The former owner's state, where it could
// be fetched, is newer, so that the exceptions are only dropped.
func (ow *ownership) applyExceptions(sh *ownedShard, fetched bool) {
	ow.mu.Lock()
	store := ow.exceptions[sh.id]
	delete(ow.exceptions, sh.id)
	ow.mu.Unlock()
	if store == nil || fetched {
		return
	}
	sh.decide(func(now time.Time, owner *pool.Owner) []pool.Action {
		for chat, target := range store.places {
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
	places := map[chestnutroad.TargetID]uint32{}
	for _, exception := range exceptions {
		place, known := places[exception.Target]
		if !known {
			place = uint32(len(message.Targets))
			places[exception.Target] = place
			message.Targets = append(message.Targets, string(exception.Target))
		}
		message.Chats = append(message.Chats, uint64(exception.Chat))
		message.Places = append(message.Places, place)
	}
	if data, err := proto.Marshal(message); err == nil {
		sl.SendPayload(to, member.PlacementException, data)
	}
}

var errMalformedExceptions = errors.New("placement exceptions name a target that they don't list")

// decodeExceptions reads placement exceptions of a shard of the site.
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
		place := int(message.GetPlaces()[index])
		if place >= len(message.GetTargets()) {
			return id, nil, errMalformedExceptions
		}
		target := chestnutroad.TargetID(message.GetTargets()[place])
		exceptions = append(exceptions, pool.PlacementException{Chat: chestnutroad.ChatID(chat), Target: target})
	}
	return id, exceptions, nil
}
