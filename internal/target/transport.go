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

// maxHeaderBytes limits the memory for a response head, which a faulty target may send without end.
const maxHeaderBytes = 64 << 10

// Timeouts limits the waits of a transport; zero means no limit.
type Timeouts struct {
	// Dial limits the time to connect.
	Dial time.Duration
	// Head limits the time from the end of the request to the response head.
	Head time.Duration
	// Idle limits the time for which a connection without a call stays open.
	Idle time.Duration
}

// KeepAliveHTTP1 returns a transport that reuses HTTP/1.1 connections. When a reused connection breaks, net/http resends
// calls whose method or Idempotency-Key header marks them as idempotent.
func KeepAliveHTTP1(limits Timeouts) *http.Transport {
	transport := newTransport(limits, false)
	transport.Protocols.SetHTTP1(true)
	return transport
}

// SingleUseHTTP1 returns a transport that opens an HTTP/1.1 connection for each call, so that net/http never resends one.
func SingleUseHTTP1(limits Timeouts) *http.Transport {
	transport := KeepAliveHTTP1(limits)
	transport.DisableKeepAlives = true
	return transport
}

// MultiplexedHTTP2 returns a transport that carries concurrent calls over one unencrypted HTTP/2 connection. It sends a ping
// when no frame has arrived for pingAfter, and closes the connection when the ping is not answered within pingTimeout.
func MultiplexedHTTP2(limits Timeouts, pingAfter, pingTimeout time.Duration) *http.Transport {
	transport := newTransport(limits, true)
	transport.Protocols.SetUnencryptedHTTP2(true)
	transport.HTTP2 = &http.HTTP2Config{
		SendPingTimeout:           pingAfter,
		PingTimeout:               pingTimeout,
		WriteByteTimeout:          pingAfter + pingTimeout,
		MaxReceiveBufferPerStream: streamWindow,
	}
	return transport
}

// streamWindow limits the bytes that an engine may send ahead of a slow caller; it keeps an open stream below 64 KiB of memory.
const streamWindow = 32 << 10

func newTransport(limits Timeouts, multiplexed bool) *http.Transport {
	dialer := &net.Dialer{Timeout: limits.Dial}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newConn(raw, multiplexed), nil
		},
		Protocols:              new(http.Protocols),
		DisableCompression:     true,
		ResponseHeaderTimeout:  limits.Head,
		IdleConnTimeout:        limits.Idle,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         4 << 10,
		WriteBufferSize:        4 << 10,
	}
}

const maxIdleConnsPerHost = 64

// NewRequest returns the HTTP request for a call to the target at address.
func NewRequest(ctx context.Context, address string, call *chestnutroad.Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		// Appended to the address, a path such as "@other/" would turn the address into user information of another host.
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
		// A safeguard besides the single-use connection: net/http can't resend a body without GetBody.
		req.GetBody = nil
	}
	return req, nil
}
