package target

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// The states of an attempt; untouched changes once, to written or to sealed.
const (
	untouched int32 = iota
	written
	sealed
)

// Attempt records whether a byte of one call may have reached a target.
//
// On HTTP/1.1 a connection belongs to one call at a time, and each write on it asks the attempt first. On HTTP/2 the
// calls share a connection and net/http may still write a call's headers after RoundTrip has returned because of a
// cancellation, so the call counts as written from the moment at which it gets the connection.
type Attempt struct {
	state  atomic.Int32
	conn   atomic.Pointer[conn]
	before atomic.Int64
}

// NewAttempt returns an attempt of which nothing was written yet.
func NewAttempt() *Attempt { return new(Attempt) }

// Context returns a context that ties the connections of one RoundTrip to the attempt.
func (at *Attempt) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: at.gotConn})
}

func (at *Attempt) gotConn(info httptrace.GotConnInfo) {
	cn, ok := info.Conn.(*conn)
	if !ok {
		at.begin()
		return
	}
	at.conn.Store(cn)
	at.before.Store(cn.received.Load())
	if cn.shared {
		at.begin()
		return
	}
	cn.attempt.Store(at)
}

// begin reports whether the call may be written, and from then on counts it as written.
func (at *Attempt) begin() bool {
	return at.state.CompareAndSwap(untouched, written) || at.state.Load() == written
}

// Seal reports whether no byte of the call was written; if so, no byte can be written later either.
func (at *Attempt) Seal() bool {
	return at.state.CompareAndSwap(untouched, sealed) || at.state.Load() == sealed
}

// broke reports whether err comes from a connection or stream that failed, closed or went silent, rather than from
// bytes that make no sense. net/http's error for a missing ping answer has no type of its own, and nor have its errors
// for malformed frames, so that on HTTP/2 only a peer that never spoke HTTP/2 is told from a broken connection.
func (at *Attempt) broke(err error) bool {
	cn := at.conn.Load()
	if cn != nil && cn.shared {
		return !cn.foreign.Load()
	}
	if isConnectionError(err) || cn == nil || cn.failed.Load() {
		return true
	}
	return cn.received.Load() == at.before.Load()
}

// invalid reports whether net/http rejected the request itself, before it looked for a connection.
func (at *Attempt) invalid(err error) bool { return at.conn.Load() == nil && !isConnectionError(err) }

func isConnectionError(err error) bool {
	var network net.Error
	var stream streamError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, context.Canceled) ||
		errors.As(err, &network) || errors.As(err, &stream)
}

// streamError receives net/http's unexported HTTP/2 stream error, which converts itself to any struct with its fields.
type streamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

// Error returns a fixed text; the type only serves to recognise the error.
func (streamError) Error() string { return "HTTP/2 stream error" }
