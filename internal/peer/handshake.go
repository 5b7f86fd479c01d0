package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// connClass says what a connection carries, and with that its frame limit.
type connClass byte

const (
	classStream connClass = 1
	classState  connClass = 2
)

const (
	handshakeVersion = 1
	nonceSize        = 16
	clientContext    = "chestnutroad peer client"
	serverContext    = "chestnutroad peer server"
)

// clientHello is what a client says of itself when it connects.
type clientHello struct {
	class connClass
	host  chestnutroad.HostID
}

func computeMAC(key []byte, parts ...[]byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range parts {
		// Each part is preceded by its length, so that no two lists of parts give the same input.
		mac.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		mac.Write(part)
	}
	return mac.Sum(nil)
}

// clientHandshake proves the client's key against the server's nonce and checks the server's proof. The nonces keep a
// recorded handshake from being replayed.
func clientHandshake(conn net.Conn, key []byte, hl clientHello) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	theirs := make([]byte, nonceSize)
	if _, err := io.ReadFull(conn, theirs); err != nil {
		return errors.Wrap(err, "handshake")
	}
	ours := make([]byte, nonceSize)
	_, _ = rand.Read(ours)
	message := make([]byte, 0, 3+maxHostIDLength+nonceSize+sha256.Size)
	message = append(message, handshakeVersion, byte(hl.class), byte(len(hl.host)))
	message = append(message, hl.host...)
	message = append(message, ours...)
	message = append(message, computeMAC(key, []byte(clientContext), message, theirs)...)
	if _, err := conn.Write(message); err != nil {
		return errors.Wrap(err, "handshake")
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return errors.Wrap(err, "handshake")
	}
	if !hmac.Equal(proof, computeMAC(key, []byte(serverContext), ours, theirs)) {
		return errAuthentication
	}
	return conn.SetDeadline(time.Time{})
}

// serverHandshake checks the client's proof and sends the server's.
func serverHandshake(conn net.Conn, key []byte) (clientHello, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	ours := make([]byte, nonceSize)
	_, _ = rand.Read(ours)
	if _, err := conn.Write(ours); err != nil {
		return clientHello{}, errors.Wrap(err, "handshake")
	}
	head := make([]byte, 3, 3+maxHostIDLength+nonceSize)
	if _, err := io.ReadFull(conn, head); err != nil {
		return clientHello{}, errors.Wrap(err, "handshake")
	}
	idLength := int(head[2])
	message := head[:3+idLength+nonceSize]
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, message[3:]); err != nil {
		return clientHello{}, errors.Wrap(err, "handshake")
	}
	if _, err := io.ReadFull(conn, proof); err != nil {
		return clientHello{}, errors.Wrap(err, "handshake")
	}
	if message[0] != handshakeVersion || !hmac.Equal(proof, computeMAC(key, []byte(clientContext), message, ours)) {
		return clientHello{}, errAuthentication
	}
	theirs := message[3+idLength:]
	if _, err := conn.Write(computeMAC(key, []byte(serverContext), theirs, ours)); err != nil {
		return clientHello{}, errors.Wrap(err, "handshake")
	}
	hl := clientHello{class: connClass(message[1]), host: chestnutroad.HostID(message[3 : 3+idLength])}
	return hl, conn.SetDeadline(time.Time{})
}
