package member

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member/memberpb"
)

const (
	// MaxDatagram is the maximum size of a datagram in bytes, its authentication code and timestamp included.
	MaxDatagram = 1200
	// DatagramOverhead is the number of bytes reserved in each datagram for the authentication code and the timestamp.
	DatagramOverhead = 40
	// MaxMessage is the maximum size of an encoded message in bytes.
	MaxMessage = MaxDatagram - DatagramOverhead
)

// ErrMessageTooLarge is returned for a message that does not fit into a datagram.
var ErrMessageTooLarge = errors.New("message exceeds the datagram limit")

// MessageType is the type of a message.
type MessageType int

// The types of messages.
const (
	// Ping asks for an Ack.
	Ping MessageType = iota + 1
	// Ack answers a Ping, or a PingReq through the host that relayed it.
	Ack
	// PingReq asks the receiver to probe Subject.
	PingReq
	// Sync carries records of the buckets that an Ack asked for.
	Sync
	// Gossip carries urgent records without waiting for the next probe.
	Gossip
	// PayloadMessage carries a payload that is opaque to this package.
	PayloadMessage
)

// PayloadKind is the type of content of a payload.
type PayloadKind int

// The kinds of payloads.
const (
	LoadSummary PayloadKind = iota + 1
	PlacementException
)

// Priority returns the priority in the budget of a payload of this kind.
func (pk PayloadKind) Priority() Priority {
	if pk == LoadSummary {
		return PriorityLoadSummary
	}
	return PriorityPlacement
}

// Message is the content of a datagram between hosts, without its authentication.
type Message struct {
	Type     MessageType
	Sequence uint64
	// From is the sender with its current incarnation.
	From Host
	// FromLeaving is true when the sender is leaving.
	FromLeaving bool
	// Subject is the host to probe in a PingReq, and the host that answered a relayed ping in an Ack.
	Subject Host
	// Digest holds a hash of the sender's records for each bucket.
	Digest []byte
	// Want has a bit set for each bucket in which the sender's records differ from the receiver's.
	Want        uint32
	Records     []Record
	PayloadKind PayloadKind
	Payload     []byte
}

// Send is a message that the caller has to send to a host.
type Send struct {
	To       Host
	Priority Priority
	Message  Message
}

// Encode returns the encoded message, or ErrMessageTooLarge if it exceeds MaxMessage bytes.
func (ms *Message) Encode() ([]byte, error) {
	data, err := proto.Marshal(messageToProto(ms))
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(data) > MaxMessage {
		return nil, ErrMessageTooLarge
	}
	return data, nil
}

// Decode decodes a message; a message without a sender is an error.
func Decode(data []byte) (Message, error) {
	var message memberpb.Message
	if err := proto.Unmarshal(data, &message); err != nil {
		return Message{}, errors.Wrap(err, "decode message")
	}
	if message.GetFrom().GetId() == "" {
		return Message{}, errors.New("decode message: no sender")
	}
	return messageFromProto(&message), nil
}

// size returns the size of the encoded message in bytes.
func (ms *Message) size() int { return proto.Size(messageToProto(ms)) }

// size returns the number of bytes that the record adds to a message.
func (rc *Record) size() int {
	size := proto.Size(recordToProto(rc))
	const tag, shortLength, longLength = 1, 1, 2
	if size < 128 {
		return tag + shortLength + size
	}
	return tag + longLength + size
}

func messageToProto(ms *Message) *memberpb.Message {
	message := &memberpb.Message{
		Type:        uint32(ms.Type),
		Sequence:    ms.Sequence,
		From:        hostToProto(ms.From, Alive, ms.FromLeaving),
		Digest:      ms.Digest,
		Want:        ms.Want,
		PayloadKind: uint32(ms.PayloadKind),
		Payload:     ms.Payload,
	}
	if ms.Subject.ID != "" {
		message.Subject = hostToProto(ms.Subject, Alive, false)
	}
	for index := range ms.Records {
		message.Records = append(message.Records, recordToProto(&ms.Records[index]))
	}
	return message
}

func messageFromProto(pb *memberpb.Message) Message {
	message := Message{
		Type:        MessageType(pb.GetType()),
		Sequence:    pb.GetSequence(),
		From:        hostFromProto(pb.GetFrom()),
		FromLeaving: pb.GetFrom().GetLeaving(),
		Subject:     hostFromProto(pb.GetSubject()),
		Digest:      pb.GetDigest(),
		Want:        pb.GetWant(),
		PayloadKind: PayloadKind(pb.GetPayloadKind()),
		Payload:     pb.GetPayload(),
	}
	for _, record := range pb.GetRecords() {
		message.Records = append(message.Records, recordFromProto(record))
	}
	return message
}

func hostToProto(hs Host, state State, leaving bool) *memberpb.Host {
	return &memberpb.Host{
		Id:          string(hs.ID),
		DataCentre:  string(hs.DataCentre),
		Address:     hs.PeerAddress,
		Incarnation: uint64(hs.Incarnation),
		State:       uint32(state),
		Leaving:     leaving,
	}
}

func hostFromProto(pb *memberpb.Host) Host {
	return Host{
		ID:          chestnutroad.HostID(pb.GetId()),
		DataCentre:  chestnutroad.DataCentreID(pb.GetDataCentre()),
		PeerAddress: pb.GetAddress(),
		Incarnation: chestnutroad.Incarnation(pb.GetIncarnation()),
	}
}

func recordToProto(rc *Record) *memberpb.Record {
	record := &memberpb.Record{Kind: uint32(rc.Kind)}
	switch rc.Kind {
	case RecordHost:
		record.Host = hostToProto(rc.Host, rc.State, rc.Leaving)
	case RecordLeaving:
		record.Name = rc.Name
		record.Leaving = rc.Leaving
		record.Stamp = rc.Stamp
	case RecordEpoch:
		record.Site = string(rc.Shard.Pool.Site)
		record.Service = string(rc.Shard.Pool.Service)
		record.DataCentre = string(rc.Shard.DataCentre)
		record.EpochMillis = rc.Epoch.Millis
		record.EpochHost = string(rc.Epoch.Host)
	case RecordVersion:
		record.Version = uint64(rc.Version)
		record.Offset = int64(rc.Offset)
	}
	return record
}

func recordFromProto(pb *memberpb.Record) Record {
	record := Record{
		Kind:    RecordKind(pb.GetKind()),
		Host:    hostFromProto(pb.GetHost()),
		State:   State(pb.GetHost().GetState()),
		Leaving: pb.GetLeaving() || pb.GetHost().GetLeaving(),
		Name:    pb.GetName(),
		Stamp:   pb.GetStamp(),
		Epoch:   chestnutroad.Epoch{Millis: pb.GetEpochMillis(), Host: chestnutroad.HostID(pb.GetEpochHost())},
		Version: chestnutroad.Version(pb.GetVersion()),
		Offset:  chestnutroad.Offset(pb.GetOffset()),
	}
	record.Shard.Pool.Site = chestnutroad.SiteID(pb.GetSite())
	record.Shard.Pool.Service = chestnutroad.ServiceID(pb.GetService())
	record.Shard.DataCentre = chestnutroad.DataCentreID(pb.GetDataCentre())
	return record
}
