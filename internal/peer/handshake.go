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

// connClass is the kind of calls that a connection carries, which determines its frame limit.
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

// clientHello holds what a client declares about itself in the handshake.
type clientHello struct {
	class connClass
	host  chestnutroad.HostID
}

// computeMAC returns the HMAC-SHA256 of the parts.
func computeMAC(key []byte, parts ...[]byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range parts {
		// Each part is preceded by its length, so that different lists of parts never give the same input.
		mac.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		mac.Write(part)
	}
	return mac.Sum(nil)
}

// clientHandshake authenticates both sides by the cluster key, seen from the client: it answers the server's nonce with a
// MAC and verifies the server's MAC. The nonces prevent the replay of a recorded handshake.
func clientHandshake(conn net.Conn, key []byte, hl clientHello) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	serverNonce := make([]byte, nonceSize)
	if _, err := io.ReadFull(conn, serverNonce); err != nil {
		return errors.Wrap(err, "handshake: read the server's nonce")
	}
	clientNonce := make([]byte, nonceSize)
	_, _ = rand.Read(clientNonce)
	message := make([]byte, 0, 3+maxHostIDLength+nonceSize+sha256.Size)
	message = append(message, handshakeVersion, byte(hl.class), byte(len(hl.host)))
	message = append(message, hl.host...)
	message = append(message, clientNonce...)
	message = append(message, computeMAC(key, []byte(clientContext), message, serverNonce)...)
	if _, err := conn.Write(message); err != nil {
		return errors.Wrap(err, "handshake: send the client's hello")
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return errors.Wrap(err, "handshake: read the server's proof")
	}
	if !hmac.Equal(proof, computeMAC(key, []byte(serverContext), clientNonce, serverNonce)) {
		return errAuthentication
	}
	return conn.SetDeadline(time.Time{})
}

// serverHandshake is the server's side of clientHandshake. It returns what the client declared about itself.
func serverHandshake(conn net.Conn, key []byte) (clientHello, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	serverNonce := make([]byte, nonceSize)
	_, _ = rand.Read(serverNonce)
	if _, err := conn.Write(serverNonce); err != nil {
		return clientHello{}, errors.Wrap(err, "handshake: send the server's nonce")
	}
	head := make([]byte, 3, 3+maxHostIDLength+nonceSize)
	if _, err := io.ReadFull(conn, head); err != nil {
		return clientHello{}, errors.Wrap(err, "handshake: read the client's hello")
	}
	idLength := int(head[2])
	message := head[:3+idLength+nonceSize]
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, message[3:]); err != nil {
		return clientHello{}, errors.Wrap(err, "handshake: read the client's hello")
	}
	if _, err := io.ReadFull(conn, proof); err != nil {
		return clientHello{}, errors.Wrap(err, "handshake: read the client's proof")
	}
	if message[0] != handshakeVersion || !hmac.Equal(proof, computeMAC(key, []byte(clientContext), message, serverNonce)) {
		return clientHello{}, errAuthentication
	}
	clientNonce := message[3+idLength:]
	if _, err := conn.Write(computeMAC(key, []byte(serverContext), clientNonce, serverNonce)); err != nil {
		return clientHello{}, errors.Wrap(err, "handshake: send the server's proof")
	}
	hl := clientHello{class: connClass(message[1]), host: chestnutroad.HostID(message[3 : 3+idLength])}
	return hl, conn.SetDeadline(time.Time{})
}
