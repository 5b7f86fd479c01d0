package siblings

import (
	"encoding/json"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/relay"
)

// maxDatagram bounds a message: with 1,000 targets it is 1.5 KB.
const maxDatagram = 8 << 10

// Socket sends and receives the datagrams between hosts.
type Socket struct{ conn *net.UDPConn }

// ListenDatagrams opens the socket of a host.
func ListenDatagrams(address netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "listen for datagrams")
	}
	return &Socket{conn: conn}, nil
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
			encoded, err := json.Marshal(&sends[index].Message)
			if err != nil {
				return total, errors.Wrap(err, "datagram")
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
	var message relay.Message
	if err := json.Unmarshal(buffer[:count], &message); err != nil {
		return nil, from, errors.Mark(err, ErrBadDatagram)
	}
	return &message, from, nil
}

// ErrBadDatagram marks a datagram that is no message.
var ErrBadDatagram = errors.New("the datagram is no message")

// NewBuffer returns a buffer for Receive.
func NewBuffer() []byte { return make([]byte, maxDatagram) }
