package member

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member/memberpb"
)

const (
	// MaxDatagram is the most bytes of a datagram, its code and stamp included.
	MaxDatagram = 1200
	// DatagramOverhead is reserved in each datagram for the code and the stamp.
	DatagramOverhead = 40
	// MaxMessage is the most bytes of an encoded message.
	MaxMessage = MaxDatagram - DatagramOverhead
)

// ErrMessageTooLarge is returned for a message that does not fit a datagram.
var ErrMessageTooLarge = errors.New("message exceeds the datagram limit")

// MessageType says what a message asks for.
type MessageType int

// The types of message.
const (
	// Ping asks for an Ack.
	Ping MessageType = iota + 1
	// Ack answers a Ping, or a PingReq through the host that relayed it.
	Ack
	// PingReq asks the receiver to probe Subject.
	PingReq
	// Sync carries records that an Ack asked for.
	Sync
	// Gossip carries urgent records without waiting for the next probe.
	Gossip
	// PayloadMessage carries a payload that membership does not look into.
	PayloadMessage
)

// PayloadKind says what a payload holds.
type PayloadKind int

// The kinds of payload.
const (
	LoadSummary PayloadKind = iota + 1
	PlacementException
)

// Priority returns the priority of a payload in the budget.
func (pk PayloadKind) Priority() Priority {
	if pk == LoadSummary {
		return PriorityLoadSummary
	}
	return PriorityPlacement
}

// Message is one datagram between hosts without its authentication.
type Message struct {
	Type     MessageType
	Sequence uint64
	// From is the sender, which is alive at this incarnation.
	From Host
	// FromLeaving is true when the sender is leaving.
	FromLeaving bool
	// Subject is the host that a PingReq asks about, or that an Ack through a relay vouches for.
	Subject Host
	// Digest holds one hash for each bucket of the sender's records.
	Digest []byte
	// Want has a bit set for each bucket in which the sender's records differ from the receiver's.
	Want        uint32
	Records     []Record
	PayloadKind PayloadKind
	Payload     []byte
}

// Send is one message that a member asks to send.
type Send struct {
	To       Host
	Priority Priority
	Message  Message
}

// Encode returns the message's bytes, or ErrMessageTooLarge.
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

// Decode returns the message of the bytes.
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

// size returns the number of bytes of the encoded message.
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
