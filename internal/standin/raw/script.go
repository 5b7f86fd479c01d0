package raw

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Script answers a request, which has been read completely, on its connection.
type Script func(connection net.Conn, req *http.Request)

// resetDelay gives the peer time to read the answer before a reset, which discards the bytes that the peer has not read.
const resetDelay = 50 * time.Millisecond

// repeatsPerWrite is the number of repetitions in a write of an endless answer, which small writes would slow down.
const repeatsPerWrite = 256

// Respond answers with the text and leaves the connection open.
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

// RespondForever answers with the first text, and then repeats the second one until the peer closes the connection.
func RespondForever(first, repeated string) Script {
	return func(connection net.Conn, _ *http.Request) {
		block := strings.Repeat(repeated, repeatsPerWrite)
		_, err := io.WriteString(connection, first)
		for err == nil {
			_, err = io.WriteString(connection, block)
		}
	}
}

// OncePerConnection answers the first request on each connection with the script, and closes the connection without an answer at
// the second one, like a target that closes an idle connection at the moment when the client reuses it.
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
