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
	// maxDatagramSize bounds a received message in bytes; with 3,000 targets a message takes about 1.5 KB compressed.
	maxDatagramSize = 8 << 10
	// minCompressSize is the number of counts or notices from which on they are compressed. Most of them are zero or small.
	minCompressSize = 64
	// maxCounts bounds the number of counts or notices, a byte each, that a received message may decompress to.
	maxCounts = 64 << 10
)

// datagram is the wire form of a message.
type datagram struct {
	relay.Message
	// Size and NoticeSize are the numbers of counts and notices when these are compressed, otherwise zero.
	Size       int `json:",omitempty"`
	NoticeSize int `json:",omitempty"`
	// Parts are the encoded residences, see encodeResidences.
	Parts []byte `json:",omitempty"`
	// Crashes is the encoded evidence about prompt parts, see encodeEvidence. Hosts of earlier versions ignore the field.
	Crashes []byte `json:",omitempty"`
	// Limits are the encoded rates of targets with limits, see encodeRates. Hosts of earlier versions ignore the field.
	Limits []byte `json:",omitempty"`
	// Ages are the encoded ages of a beacon, see encodeAges. Hosts of earlier versions ignore the field.
	Ages []byte `json:",omitempty"`
	// Evacuated is the encoded list of evacuated data centres, see encodeEvacuations. Hosts of earlier versions ignore the field.
	Evacuated []byte `json:",omitempty"`
	// Begun are the encoded starts of streams, see encodeStarts. Hosts of earlier versions ignore the field.
	Begun []byte `json:",omitempty"`
}

// residenceSize is the size of an encoded residence in bytes.
const residenceSize = 12

// encodeResidences returns the part hash (8 bytes) and the target hash (4 bytes) of each residence, in big-endian order.
func encodeResidences(residences []chestnutroad.Residence) []byte {
	data := make([]byte, 0, residenceSize*len(residences))
	for _, rd := range residences {
		data = binary.BigEndian.AppendUint64(data, uint64(rd.Part))
		data = binary.BigEndian.AppendUint32(data, uint32(rd.Target))
	}
	return data
}

// decodeResidences returns the encoded residences and ignores an incomplete one at the end.
func decodeResidences(data []byte) []chestnutroad.Residence {
	var residences []chestnutroad.Residence
	for ; len(data) >= residenceSize; data = data[residenceSize:] {
		residences = append(residences, chestnutroad.Residence{
			Part:   chestnutroad.PartHash(binary.BigEndian.Uint64(data)),
			Target: chestnutroad.TargetHash(binary.BigEndian.Uint32(data[8:])),
		})
	}
	return residences
}

// Socket sends and receives the datagrams between hosts. One goroutine may send while another one receives.
type Socket struct {
	conn         *net.UDPConn
	compressor   *flate.Writer
	decompressor io.ReadCloser
}

// ListenDatagrams opens a socket that receives datagrams at the address.
func ListenDatagrams(address netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "listen for datagrams")
	}
	compressor, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "create the datagram compressor")
	}
	return &Socket{conn: conn, compressor: compressor, decompressor: flate.NewReader(bytes.NewReader(nil))}, nil
}

// Address returns the address at which the socket receives.
func (sk *Socket) Address() netip.AddrPort {
	if address, ok := sk.conn.LocalAddr().(*net.UDPAddr); ok {
		return address.AddrPort()
	}
	return netip.AddrPort{}
}

// Close closes the socket; a waiting Receive then returns an error that wraps net.ErrClosed.
func (sk *Socket) Close() error { return sk.conn.Close() }

// Send sends the messages and returns the number of bytes sent. A failed send doesn't stop the others; the last failure is
// returned. Consecutive messages of one kind with the same number of starts are encoded once, so they must be equal.
func (sk *Socket) Send(sends []relay.Send) (int, error) {
	var data []byte
	var lastErr error
	total := 0
	for index := range sends {
		message := &sends[index].Message
		if index == 0 || message.Kind != sends[index-1].Message.Kind || len(message.Starts) != len(sends[index-1].Message.Starts) {
			encoded, err := sk.encode(message)
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
			lastErr = err
			continue
		}
		total += len(data)
	}
	return total, lastErr
}

// Receive waits for the next message and returns it with its sender's address. The error for a datagram that can't be decoded
// is marked with ErrBadDatagram.
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
	dg.Counts, dg.Size = sk.compress(message.Counts)
	dg.Notices, dg.NoticeSize = sk.compress(message.Notices)
	dg.Parts = encodeResidences(message.Residences)
	dg.Crashes = encodeEvidence(message.Evidence)
	dg.Limits = encodeRates(message.Rates)
	dg.Ages = encodeAges(message.ConfigurationAge, message.TargetsAge)
	dg.Evacuated = encodeEvacuations(message.Evacuations)
	dg.Begun = encodeStarts(message.Starts)
	data, err := json.Marshal(&dg)
	return data, errors.Wrap(err, "encode datagram")
}

// compress returns the compressed data and its original size, or data itself and zero when it is short.
func (sk *Socket) compress(data []byte) (compressed []byte, size int) {
	if len(data) < minCompressSize {
		return data, 0
	}
	var buffer bytes.Buffer
	sk.compressor.Reset(&buffer)
	// Writes to a buffer don't fail.
	_, _ = sk.compressor.Write(data)
	_ = sk.compressor.Close()
	return buffer.Bytes(), len(data)
}

// decompress reverses compress; size is the one that compress returned.
func (sk *Socket) decompress(compressed []byte, size int) ([]byte, error) {
	if size < 0 || size > maxCounts {
		return nil, errors.Newf("invalid number of counts or notices: %d", size)
	}
	if size == 0 {
		return compressed, nil
	}
	resetter, ok := sk.decompressor.(flate.Resetter)
	if !ok {
		return nil, errors.New("the decompressor can't be reset")
	}
	if err := resetter.Reset(bytes.NewReader(compressed), nil); err != nil {
		return nil, err
	}
	data := make([]byte, size)
	_, err := io.ReadFull(sk.decompressor, data)
	return data, err
}

func (sk *Socket) decode(data []byte) (*relay.Message, error) {
	var dg datagram
	if err := json.Unmarshal(data, &dg); err != nil {
		return nil, err
	}
	var err error
	if dg.Counts, err = sk.decompress(dg.Counts, dg.Size); err != nil {
		return nil, err
	}
	if dg.Notices, err = sk.decompress(dg.Notices, dg.NoticeSize); err != nil {
		return nil, err
	}
	dg.Residences = decodeResidences(dg.Parts)
	dg.Evidence = decodeEvidence(dg.Crashes)
	dg.Rates = decodeRates(dg.Limits)
	dg.ConfigurationAge, dg.TargetsAge = decodeAges(dg.Ages)
	dg.Evacuations = decodeEvacuations(dg.Evacuated)
	dg.Starts = decodeStarts(dg.Begun)
	return &dg.Message, nil
}

// ErrBadDatagram marks the errors of datagrams that can't be decoded.
var ErrBadDatagram = errors.New("malformed datagram")

// NewBuffer returns a buffer for Receive; a datagram longer than the buffer is truncated and fails to decode.
func NewBuffer() []byte { return make([]byte, maxDatagramSize) }
