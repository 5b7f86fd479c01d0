package siblings

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/relay"
)

const (
	// maxDatagram bounds a message: with 3,000 targets it is some 1.5 KB packed.
	maxDatagram = 8 << 10
	// packFrom is the number of counts or notices from which they are packed: most are zero or small.
	packFrom = 64
	// maxCounts bounds the memory of unpacked counts.
	maxCounts = 64 << 10
)

// datagram is the form in which a message is sent.
type datagram struct {
	relay.Message
	// Size and NoticeSize are the numbers of counts and notices when they are packed; zero when they are not.
	Size       int `json:",omitempty"`
	NoticeSize int `json:",omitempty"`
	// Parts are the residences: the hash of the part and of the target, one after the other.
	Parts []byte `json:",omitempty"`
}

// residenceSize is the number of bytes of a residence in a datagram.
const residenceSize = 12

func packResidences(residences []chestnutroad.Residence) []byte {
	data := make([]byte, 0, residenceSize*len(residences))
	for _, rd := range residences {
		data = binary.BigEndian.AppendUint64(data, uint64(rd.Part))
		data = binary.BigEndian.AppendUint32(data, uint32(rd.Target))
	}
	return data
}

func unpackResidences(data []byte) []chestnutroad.Residence {
	var residences []chestnutroad.Residence
	for ; len(data) >= residenceSize; data = data[residenceSize:] {
		residences = append(residences, chestnutroad.Residence{
			Part:   chestnutroad.PartHash(binary.BigEndian.Uint64(data)),
			Target: chestnutroad.TargetHash(binary.BigEndian.Uint32(data[8:])),
		})
	}
	return residences
}

// Socket sends and receives the datagrams between hosts; one goroutine may send while another one receives.
type Socket struct {
	conn     *net.UDPConn
	packer   *flate.Writer
	unpacker io.ReadCloser
}

// ListenDatagrams opens the socket of a host.
func ListenDatagrams(address netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "listen for datagrams")
	}
	packer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "packer of datagrams")
	}
	return &Socket{conn: conn, packer: packer, unpacker: flate.NewReader(bytes.NewReader(nil))}, nil
}

// Address returns the address at which the socket receives.
func (sk *Socket) Address() netip.AddrPort {
	if address, ok := sk.conn.LocalAddr().(*net.UDPAddr); ok {
		return address.AddrPort()
	}
	return netip.AddrPort{}
}

// Close closes the socket.
func (sk *Socket) Close() error { return sk.conn.Close() }

// Send sends the messages and returns the number of bytes; a message to several hosts in a row is encoded once.
func (sk *Socket) Send(sends []relay.Send) (int, error) {
	var data []byte
	var failed error
	total := 0
	for index := range sends {
		if index == 0 || sends[index].Message.Kind != sends[index-1].Message.Kind {
			encoded, err := sk.encode(&sends[index].Message)
			if err != nil {
				return total, err
			}
			data = encoded
		}
		address, err := netip.ParseAddrPort(sends[index].Address)
		if err == nil {
			_, err = sk.conn.WriteToUDPAddrPort(data, address)
		}
		if err != nil {
			failed = err
			continue
		}
		total += len(data)
	}
	return total, failed
}

// Receive returns the next message and its sender's address; a datagram that is no message is an error.
func (sk *Socket) Receive(buffer []byte) (*relay.Message, netip.AddrPort, error) {
	count, from, err := sk.conn.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return nil, from, err
	}
	message, err := sk.decode(buffer[:count])
	if err != nil {
		return nil, from, errors.Mark(err, ErrBadDatagram)
	}
	return message, from, nil
}

func (sk *Socket) encode(message *relay.Message) ([]byte, error) {
	dg := datagram{Message: *message}
	dg.Counts, dg.Size = sk.pack(message.Counts)
	dg.Notices, dg.NoticeSize = sk.pack(message.Notices)
	dg.Parts = packResidences(message.Residences)
	data, err := json.Marshal(&dg)
	return data, errors.Wrap(err, "datagram")
}

// pack returns the bytes in a shorter form and their number, or the bytes themselves and zero when they are few.
func (sk *Socket) pack(data []byte) (packed []byte, size int) {
	if len(data) < packFrom {
		return data, 0
	}
	var buffer bytes.Buffer
	sk.packer.Reset(&buffer)
	// A buffer takes all writes.
	_, _ = sk.packer.Write(data)
	_ = sk.packer.Close()
	return buffer.Bytes(), len(data)
}

// unpack returns what pack made from so many bytes.
func (sk *Socket) unpack(packed []byte, size int) ([]byte, error) {
	if size < 0 || size > maxCounts {
		return nil, errors.Newf("%d counts", size)
	}
	if size == 0 {
		return packed, nil
	}
	resetter, ok := sk.unpacker.(flate.Resetter)
	if !ok {
		return nil, errors.New("the unpacker can't be used again")
	}
	if err := resetter.Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, err
	}
	data := make([]byte, size)
	_, err := io.ReadFull(sk.unpacker, data)
	return data, err
}

func (sk *Socket) decode(data []byte) (*relay.Message, error) {
	var dg datagram
	if err := json.Unmarshal(data, &dg); err != nil {
		return nil, err
	}
	var err error
	if dg.Counts, err = sk.unpack(dg.Counts, dg.Size); err != nil {
		return nil, err
	}
	if dg.Notices, err = sk.unpack(dg.Notices, dg.NoticeSize); err != nil {
		return nil, err
	}
	dg.Residences = unpackResidences(dg.Parts)
	return &dg.Message, nil
}

// ErrBadDatagram marks a datagram that is no message.
var ErrBadDatagram = errors.New("the datagram is no message")

// NewBuffer returns a buffer for Receive.
func NewBuffer() []byte { return make([]byte, maxDatagram) }
