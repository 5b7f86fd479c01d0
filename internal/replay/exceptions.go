package replay

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/host/hostpb"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// The interval and the size of messages with placement exceptions, as in internal/host.
const (
	exceptionInterval    = 500 * time.Millisecond
	exceptionsPerMessage = 20
)

// sendExceptions tells the host that would take over after a crash about chats away from their first target.
func (in *instance) sendExceptions() {
	si, ho := in.si, in.host
	if !in.live || ho.owned[in.shard] != in || in.owner == nil || si.queue.now > si.end {
		return
	}
	si.queue.after(exceptionInterval, in.sendExceptions)
	next := ho.successor(in.shard)
	if next == nil {
		return
	}
	exceptions := in.owner.PopExceptions(exceptionsPerMessage)
	if len(exceptions) == 0 {
		return
	}
	ho.control.add(si.queue.now, payloadBytes(ho, member.PlacementException, exceptionPayload(in.shard, exceptions)))
	si.send(ho.DataCentre, next.DataCentre, func() {
		next.receivedExceptions[in.shard] = append(next.receivedExceptions[in.shard], exceptions...)
	})
}

// successor returns the host that takes the shard over when this one dies.
func (ho *host) successor(shard chestnutroad.ShardID) *host {
	for _, id := range ho.ownership.Rank(shard, ho.views) {
		if id != ho.ID {
			return ho.si.hosts[id]
		}
	}
	return nil
}

// applyExceptions gives an owner without its predecessor's state what this host was told of the shard's chats.
func (ho *host) applyExceptions(in *instance) {
	if in.owner == nil {
		return
	}
	for _, exception := range ho.receivedExceptions[in.shard] {
		in.owner.ApplyException(ho.si.time(), exception)
	}
	delete(ho.receivedExceptions, in.shard)
}

func exceptionPayload(shard chestnutroad.ShardID, exceptions []pool.PlacementException) []byte {
	message := &hostpb.PlacementExceptions{Service: string(shard.Pool.Service), DataCentre: string(shard.DataCentre)}
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
	return mustMarshal(message)
}

// mustMarshal returns the bytes of a message of plain fields, which always encodes.
func mustMarshal(message proto.Message) []byte {
	data, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	return data
}
