package target

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
)

// maxHeaderBytes bounds the memory that a response head without an end can take.
const maxHeaderBytes = 64 << 10

// Timeouts bounds the waits of a transport; zero means no bound.
type Timeouts struct {
	// Dial bounds the time to connect.
	Dial time.Duration
	// Head bounds the time from the end of the request to the response head.
	Head time.Duration
	// Idle is how long a connection stays open without a call.
	Idle time.Duration
}

// KeepAliveHTTP1 returns a transport that reuses HTTP/1.1 connections; net/http re-sends calls on it when a reused
// connection breaks and the method or an Idempotency-Key header marks the call as idempotent.
func KeepAliveHTTP1(limits Timeouts) *http.Transport {
	transport := newTransport(limits, false)
	transport.Protocols.SetHTTP1(true)
	return transport
}

// SingleUseHTTP1 returns a transport that opens an HTTP/1.1 connection for each call, so that net/http never re-sends one.
func SingleUseHTTP1(limits Timeouts) *http.Transport {
	transport := KeepAliveHTTP1(limits)
	transport.DisableKeepAlives = true
	return transport
}

// MultiplexedHTTP2 returns a transport that carries many calls over one unencrypted HTTP/2 connection, which is closed
// when a ping sent after sendPing without a frame is not answered within ping.
func MultiplexedHTTP2(limits Timeouts, sendPing, ping time.Duration) *http.Transport {
	transport := newTransport(limits, true)
	transport.Protocols.SetUnencryptedHTTP2(true)
	transport.HTTP2 = &http.HTTP2Config{
		SendPingTimeout:           sendPing,
		PingTimeout:               ping,
		WriteByteTimeout:          sendPing + ping,
		MaxReceiveBufferPerStream: streamWindow,
	}
	return transport
}

// streamWindow bounds what an engine may send ahead of a slow caller; the memory of an open stream stays below 64 KiB.
const streamWindow = 32 << 10

func newTransport(limits Timeouts, shared bool) *http.Transport {
	dialer := &net.Dialer{Timeout: limits.Dial}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newConn(raw, shared), nil
		},
		Protocols:              new(http.Protocols),
		DisableCompression:     true,
		ResponseHeaderTimeout:  limits.Head,
		IdleConnTimeout:        limits.Idle,
		MaxIdleConnsPerHost:    maxIdleConns,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         4 << 10,
		WriteBufferSize:        4 << 10,
	}
}

const maxIdleConns = 64

// NewRequest returns the HTTP request of a call to the target at address.
func NewRequest(ctx context.Context, address string, call *chestnutroad.Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		// Joined to the address, a path such as "@other/" would lead to another target.
		return nil, chestnutroad.Refuse(chestnutroad.BadRequest, "the path does not begin with a slash")
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", chestnutroad.Refuse(chestnutroad.BadRequest, "the method or path is malformed"), err)
	}
	if len(call.Body) == 0 {
		req.Body = http.NoBody
		req.GetBody = nil
	}
	req.Header = requestHeader(call)
	if call.Repeat == chestnutroad.RepeatNever {
		// Without GetBody net/http can't rewind the body, which rules out a re-send a second time.
		req.GetBody = nil
	}
	return req, nil
}
