package replay

import (
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/peer/peerpb"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

const (
	// packetHeader is the IP and UDP header of a datagram; a TCP segment is counted with the same.
	packetHeader = 28
	// segmentBytes is the data of one TCP segment.
	segmentBytes = 1440
	// membershipBytes is what membership with its epochs costs a host in a second: the busiest of 21 hosts under churn,
	// as TestControlBytesFitTheTarget of internal/member prints it.
	membershipBytes = 1067
)

// controlCounter counts the control bytes that a host sends, by second.
type controlCounter struct {
	total   int64
	seconds []int64
}

func (cc *controlCounter) add(now time.Duration, bytes int) {
	second := int(now / time.Second)
	for len(cc.seconds) <= second {
		cc.seconds = append(cc.seconds, 0)
	}
	cc.seconds[second] += int64(bytes)
	cc.total += int64(bytes)
}

// highest returns the bytes of the busiest second.
func (cc *controlCounter) highest() int64 {
	var most int64
	for _, bytes := range cc.seconds {
		most = max(most, bytes)
	}
	return most
}

// summaryBytes is the size of a load summary on the wire: a membership datagram with a payload of variable-length
// integers and names.
func summaryBytes(ho *host, summary pool.Summary) int {
	message := member.Message{
		Type: member.PayloadMessage, From: member.Host{ID: ho.ID, DataCentre: ho.DataCentre, Incarnation: ho.incarnation()},
		PayloadKind: member.LoadSummary, Payload: summaryPayload(summary),
	}
	data, err := message.Encode()
	if err != nil {
		panic(err) // a summary always fits a datagram
	}
	return len(data) + member.DatagramOverhead + packetHeader
}

func summaryPayload(summary pool.Summary) []byte {
	var data []byte
	shard := summary.Shard
	for _, name := range []string{
		string(shard.Pool.Site), string(shard.Pool.Service), string(shard.DataCentre), string(summary.Epoch.Host),
	} {
		data = binary.AppendUvarint(data, uint64(len(name)))
		data = append(data, name...)
	}
	for _, number := range []int64{
		summary.Epoch.Millis, int64(summary.Targets), int64(summary.Work), summary.Taken.UnixNano(),
		int64(summary.Drained), int64(summary.Queued),
	} {
		data = binary.AppendVarint(data, number)
	}
	return data
}

// redirectBytes is the size of an owner's answer that names another shard.
func redirectBytes(shard chestnutroad.ShardID) int {
	return packetHeader + proto.Size(&peerpb.ForwardDown{RedirectDataCentre: string(shard.DataCentre)})
}

// forwardBytes is the size of the head of a request that is forwarded once more; the body is the caller's traffic.
func forwardBytes(req *chestnutroad.Request, id chestnutroad.RequestID) int {
	return packetHeader + proto.Size(&peerpb.ForwardUp{Head: &peerpb.RequestHead{
		Id: string(id), Team: string(req.Team), Service: string(req.Service), Chat: uint64(req.Chat),
		Priority: int32(req.Priority), Repeat: string(req.Repeat), Key: string(req.Key), PromptTokens: int64(req.Prompt),
		MaxOutputTokens: int64(req.MaxOutput), DeadlineUnixNanos: req.Deadline.UnixNano(),
	}})
}

// stateBytes is the size of a shard's state in TCP segments.
func stateBytes(state []byte) int {
	segments := (len(state) + segmentBytes - 1) / segmentBytes
	return len(state) + segments*packetHeader
}
