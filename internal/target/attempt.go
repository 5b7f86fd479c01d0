package target

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// The states of an attempt. It changes once at most, from unwritten to either written or sealed.
const (
	unwritten int32 = iota
	written
	sealed
)

// Attempt records whether a byte of one call may have reached a target.
//
// Over HTTP/1.1 a connection serves one call at a time, and each write on it checks the call's attempt first. Over HTTP/2
// calls share a connection, and net/http may still write a call's headers after RoundTrip has returned on cancellation, so
// a call counts as written as soon as it gets a connection.
type Attempt struct {
	state atomic.Int32
	conn  atomic.Pointer[conn]
	// receivedBefore is the number of bytes that the connection had received before this call.
	receivedBefore atomic.Int64
}

// NewAttempt returns an attempt in the unwritten state.
func NewAttempt() *Attempt { return new(Attempt) }

// Context returns a context for one RoundTrip, which links the connections that it uses to the attempt.
func (at *Attempt) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: at.gotConn})
}

func (at *Attempt) gotConn(info httptrace.GotConnInfo) {
	cn, ok := info.Conn.(*conn)
	if !ok {
		at.markWritten()
		return
	}
	at.conn.Store(cn)
	at.receivedBefore.Store(cn.received.Load())
	if cn.multiplexed {
		at.markWritten()
		return
	}
	cn.attempt.Store(at)
}

// markWritten marks the call as written and returns true, unless the attempt is sealed.
func (at *Attempt) markWritten() bool {
	return at.state.CompareAndSwap(unwritten, written) || at.state.Load() == written
}

// Seal reports whether no byte of the call was written and, if so, prevents any later write.
func (at *Attempt) Seal() bool {
	return at.state.CompareAndSwap(unwritten, sealed) || at.state.Load() == sealed
}

// connectionFailed reports whether err comes from a connection or stream that failed, was closed or went silent, rather than
// from a malformed answer. Over HTTP/2, net/http's errors for an unanswered ping and for malformed frames have no type of
// their own, so every error counts as a failed connection there, unless the peer never spoke HTTP/2.
func (at *Attempt) connectionFailed(err error) bool {
	cn := at.conn.Load()
	if cn != nil && cn.multiplexed {
		return !cn.notHTTP2.Load()
	}
	if isConnectionError(err) || cn == nil || cn.failed.Load() {
		return true
	}
	return cn.received.Load() == at.receivedBefore.Load()
}

// requestInvalid reports whether net/http rejected the request itself before it got a connection.
func (at *Attempt) requestInvalid(err error) bool {
	return at.conn.Load() == nil && !isConnectionError(err)
}

func isConnectionError(err error) bool {
	var network net.Error
	var stream streamError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, context.Canceled) ||
		errors.As(err, &network) || errors.As(err, &stream)
}

// streamError matches net/http's unexported HTTP/2 stream error, whose As method fills any struct with the same fields.
type streamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

// Error returns a fixed text, since the type only serves as a target of errors.As.
func (streamError) Error() string { return "HTTP/2 stream error" }
