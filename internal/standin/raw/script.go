package raw

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Script answers one request that arrived whole on a connection.
type Script func(connection net.Conn, req *http.Request)

// resetDelay lets the bytes before a reset arrive, since a reset discards what the peer has not read.
const resetDelay = 50 * time.Millisecond

// repeatsPerWrite keeps an endless answer from being slowed down by small writes.
const repeatsPerWrite = 256

// Respond answers with the text and keeps the connection open.
func Respond(text string) Script {
	return func(connection net.Conn, _ *http.Request) { _, _ = io.WriteString(connection, text) }
}

// RespondAndClose answers with the text and closes the connection.
func RespondAndClose(text string) Script {
	return func(connection net.Conn, _ *http.Request) {
		_, _ = io.WriteString(connection, text)
		_ = connection.Close()
	}
}

// RespondAndReset answers with the text and resets the connection.
func RespondAndReset(text string) Script {
	return func(connection net.Conn, _ *http.Request) {
		_, _ = io.WriteString(connection, text)
		time.Sleep(resetDelay)
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
}

// RespondForever answers with the first text, and then with the other one until the peer closes the connection.
func RespondForever(first, again string) Script {
	return func(connection net.Conn, _ *http.Request) {
		block := strings.Repeat(again, repeatsPerWrite)
		_, err := io.WriteString(connection, first)
		for err == nil {
			_, err = io.WriteString(connection, block)
		}
	}
}

// OncePerConnection answers the first request of each connection with the script, and closes the connection without an
// answer at the second one, as a target does that closes an idle connection just as it is reused.
func OncePerConnection(script Script) func() Script {
	return func() Script {
		served := false
		return func(connection net.Conn, req *http.Request) {
			if served {
				_ = connection.Close()
				return
			}
			served = true
			script(connection, req)
		}
	}
}
