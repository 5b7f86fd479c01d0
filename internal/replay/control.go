package replay

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/host/hostpb"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/peer/peerpb"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

const (
	// segmentBytes is the payload of a full TCP segment.
	segmentBytes = 1440
	// peerAddress stands for the sender's address in each datagram and has the length of a typical one.
	peerAddress = "10.10.10.10:7000"
	// membershipBytesPerSecond is the membership traffic, with epochs, of the busiest of 21 hosts under churn, as printed by
	// TestControlBytesWithinLimit of internal/member.
	membershipBytesPerSecond = 1067
)

// controlCounter counts the control bytes that a host sends, in total and in each second of the replay.
type controlCounter struct {
	total         int64
	bytesBySecond []int64
}

func (cc *controlCounter) add(now time.Duration, bytes int) {
	second := int(now / time.Second)
	for len(cc.bytesBySecond) <= second {
		cc.bytesBySecond = append(cc.bytesBySecond, 0)
	}
	cc.bytesBySecond[second] += int64(bytes)
	cc.total += int64(bytes)
}

// busiestSecond returns the number of bytes in the busiest second.
func (cc *controlCounter) busiestSecond() int64 {
	var highest int64
	for _, bytes := range cc.bytesBySecond {
		highest = max(highest, bytes)
	}
	return highest
}

// payloadBytes returns the size in bytes of a membership datagram that carries the payload, with headers.
func payloadBytes(ho *host, kind member.PayloadKind, payload []byte) int {
	message := member.Message{
		Type: member.PayloadMessage, PayloadKind: kind, Payload: payload, From: member.Host{
			ID: ho.ID, DataCentre: ho.DataCentre, PeerAddress: peerAddress, Incarnation: ho.incarnation(),
		},
	}
	data, err := message.Encode()
	if err != nil {
		panic(err) // unreachable: the payloads fit in a datagram
	}
	return len(data) + member.DatagramOverhead + member.UDPOverhead
}

func summaryPayload(summary pool.Summary) []byte {
	return mustMarshal(&hostpb.LoadSummary{
		Service: string(summary.Shard.Pool.Service), DataCentre: string(summary.Shard.DataCentre),
		EpochMillis: summary.Epoch.Millis, EpochHost: string(summary.Epoch.Host), Targets: int64(summary.Targets),
		Work: int64(summary.Work), Queued: int64(summary.Queued), Drained: int64(summary.Drained),
		TakenUnixNanos: summary.Taken.UnixNano(),
	})
}

// redirectBytes returns the size in bytes of an owner's redirect to another shard.
func redirectBytes(shard chestnutroad.ShardID) int {
	return member.TCPOverhead + proto.Size(&peerpb.ForwardDown{RedirectDataCentre: string(shard.DataCentre)})
}

// forwardBytes returns the size in bytes of the head of a request that is forwarded again after a redirect. The body is
// not control traffic.
func forwardBytes(req *chestnutroad.Request, id chestnutroad.RequestID) int {
	return member.TCPOverhead + proto.Size(&peerpb.ForwardUp{Head: &peerpb.RequestHead{
		Id: string(id), Team: string(req.Team), Service: string(req.Service), Chat: uint64(req.Chat),
		Priority: int32(req.Priority), Repeat: string(req.Repeat), Key: string(req.Key), PromptTokens: int64(req.Prompt),
		MaxOutputTokens: int64(req.MaxOutput), TimeoutNanos: int64(req.Deadline.Sub(req.Arrived)),
	}})
}

// ownerQueryBytes returns the size in bytes of the query whether a host still owns a shard.
func ownerQueryBytes(shard chestnutroad.ShardID) int {
	return member.TCPOverhead + proto.Size(&peerpb.FetchStateRequest{
		Kind: "Owner", Service: string(shard.Pool.Service), DataCentre: string(shard.DataCentre),
	})
}

// stateBytes returns the size in bytes of the TCP segments that carry a shard's state.
func stateBytes(state []byte) int {
	segments := (len(state) + segmentBytes - 1) / segmentBytes
	return len(state) + segments*member.TCPOverhead
}
