package replay

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/host/hostpb"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// The interval of messages with placement exceptions, and the highest number of exceptions in each, as in internal/host.
const (
	exceptionInterval    = 500 * time.Millisecond
	exceptionsPerMessage = 20
)

// sendExceptions sends the new placement exceptions, which are chats on another target than a new owner would choose, to
// the host that would take the shard over after a crash. It repeats itself while this host owns the shard.
func (in *instance) sendExceptions() {
	si, ho := in.si, in.host
	if !in.live || ho.owned[in.shard] != in || in.owner == nil || si.queue.now > si.end {
		return
	}
	si.queue.after(exceptionInterval, in.sendExceptions)
	successor := ho.successor(in.shard)
	if successor == nil {
		return
	}
	exceptions := in.owner.PopExceptions(exceptionsPerMessage)
	if len(exceptions) == 0 {
		return
	}
	ho.control.add(si.queue.now, payloadBytes(ho, member.PlacementException, exceptionPayload(in.shard, exceptions)))
	si.send(ho.DataCentre, successor.DataCentre, func() {
		successor.receivedExceptions[in.shard] = append(successor.receivedExceptions[in.shard], exceptions...)
	})
}

// successor returns the host that would take the shard over if this one died, or nil if there is none.
func (ho *host) successor(shard chestnutroad.ShardID) *host {
	for _, id := range ho.ownership.Rank(shard, ho.views) {
		if id != ho.ID {
			return ho.si.hosts[id]
		}
	}
	return nil
}

// applyExceptions applies the placement exceptions that the former owner sent, for an owner without its state.
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
	indexes := map[chestnutroad.TargetID]uint32{}
	for _, exception := range exceptions {
		index, ok := indexes[exception.Target]
		if !ok {
			index = uint32(len(message.Targets))
			indexes[exception.Target] = index
			message.Targets = append(message.Targets, string(exception.Target))
		}
		message.Chats = append(message.Chats, uint64(exception.Chat))
		message.Places = append(message.Places, index)
	}
	return mustMarshal(message)
}

// mustMarshal encodes a message. Marshalling can't fail for the messages of this package, which have only scalar and
// repeated fields.
func mustMarshal(message proto.Message) []byte {
	data, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	return data
}
