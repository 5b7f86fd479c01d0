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
	// segmentBytes is the data of one TCP segment.
	segmentBytes = 1440
	// peerAddress has the length of a usual peer address, which each datagram carries.
	peerAddress = "10.10.10.10:7000"
	// membershipBytesPerSecond is what membership with its epochs costs a host in a second: the busiest of 21 hosts under churn,
	// as TestControlBytesFitTheTarget of internal/member prints it.
	membershipBytesPerSecond = 1067
)

// controlCounter counts the control bytes that a host sends, by second.
type controlCounter struct {
	total   int64
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

// busiestSecond returns the bytes of the busiest second.
func (cc *controlCounter) busiestSecond() int64 {
	var most int64
	for _, bytes := range cc.bytesBySecond {
		most = max(most, bytes)
	}
	return most
}

// payloadBytes is the size of a membership datagram with a payload of internal/host.
func payloadBytes(ho *host, kind member.PayloadKind, payload []byte) int {
	message := member.Message{
		Type: member.PayloadMessage, PayloadKind: kind, Payload: payload, From: member.Host{
			ID: ho.ID, DataCentre: ho.DataCentre, PeerAddress: peerAddress, Incarnation: ho.incarnation(),
		},
	}
	data, err := message.Encode()
	if err != nil {
		panic(err) // the payloads fit a datagram
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

// redirectBytes is the size of an owner's answer that names another shard.
func redirectBytes(shard chestnutroad.ShardID) int {
	return member.TCPOverhead + proto.Size(&peerpb.ForwardDown{RedirectDataCentre: string(shard.DataCentre)})
}

// forwardBytes is the size of the head of a request that is forwarded once more; the body is the caller's traffic.
func forwardBytes(req *chestnutroad.Request, id chestnutroad.RequestID) int {
	return member.TCPOverhead + proto.Size(&peerpb.ForwardUp{Head: &peerpb.RequestHead{
		Id: string(id), Team: string(req.Team), Service: string(req.Service), Chat: uint64(req.Chat),
		Priority: int32(req.Priority), Repeat: string(req.Repeat), Key: string(req.Key), PromptTokens: int64(req.Prompt),
		MaxOutputTokens: int64(req.MaxOutput), TimeoutNanos: int64(req.Deadline.Sub(req.Arrived)),
	}})
}

// ownerQueryBytes is the size of the question whether a host still owns a shard.
func ownerQueryBytes(shard chestnutroad.ShardID) int {
	return member.TCPOverhead + proto.Size(&peerpb.FetchStateRequest{
		Kind: "Owner", Service: string(shard.Pool.Service), DataCentre: string(shard.DataCentre),
	})
}

// stateBytes is the size of a shard's state in TCP segments.
func stateBytes(state []byte) int {
	segments := (len(state) + segmentBytes - 1) / segmentBytes
	return len(state) + segments*member.TCPOverhead
}
