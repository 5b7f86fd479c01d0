package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/peer/peerpb"
)

// Client calls other hosts over pooled connections.
type Client struct {
	settings settings
	key      []byte
	self     chestnutroad.HostID
	counters *streamCounters
	// streams and states hold the connections for forwarded requests and for state calls.
	streams *connPool
	states  *connPool
	sender  *Sender

	stop    chan struct{}
	stopped sync.Once
}

// NewClient returns a client for calls made by the host self. Close must be called to stop its expiry of idle
// connections. The sender, which may be nil, charges keep-alive frames to the control budget.
func NewClient(self chestnutroad.HostID, key []byte, sender *Sender, opts ...Option) (*Client, error) {
	if len(key) < minClusterKeySize {
		return nil, errShortKey
	}
	if len(self) > maxHostIDLength {
		return nil, errors.Newf("host id %q has more than %d bytes", self, maxHostIDLength)
	}
	st := newSettings(opts)
	client := &Client{settings: st, key: key, self: self, sender: sender, stop: make(chan struct{})}
	client.counters = newStreamCounters(st.metrics, "client")
	client.streams = client.newPool(classStream)
	client.states = client.newPool(classState)
	go client.expireIdle()
	return client, nil
}

func (cl *Client) newPool(class connClass) *connPool {
	return &connPool{settings: &cl.settings, class: class, dial: cl.dial, peers: map[string]*peerConns{}}
}

// Close closes the idle connections; calls in progress continue.
func (cl *Client) Close() {
	cl.stopped.Do(func() { close(cl.stop) })
	cl.streams.close()
	cl.states.close()
}

// expireIdle closes connections that have been idle for longer than the idle timeout, until the client is closed.
func (cl *Client) expireIdle() {
	ticker := time.NewTicker(max(cl.settings.idleTimeout/4, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-cl.stop:
			return
		case <-ticker.C:
			cl.streams.expire()
			cl.states.expire()
		}
	}
}

// dial connects to a host and performs the handshake.
func (cl *Client) dial(ctx context.Context, address string, class connClass) (*countingConn, error) {
	dialer := net.Dialer{Timeout: cl.settings.dialTimeout, KeepAliveConfig: keepAliveConfig()}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	if err := clientHandshake(conn, cl.key, clientHello{class: class, host: cl.self}); err != nil {
		_ = conn.Close()
		return nil, err
	}
	cl.counters.dialled.Inc()
	return &countingConn{Conn: conn}, nil
}

// Forward sends a request to the host at the address and passes the response to answer. It returns nil at the end of the
// response, a *Redirect, a *NotOwner, or a *chestnutroad.Refusal whose NotRun is true only when nothing was written to
// the host or the host reported that nothing ran. The caller must not modify the body after the call, because a response
// may end before all of the body is sent. Errors of the answer's methods, and the cancellation of ctx, are returned
// unchanged.
func (cl *Client) Forward(
	ctx context.Context, address string, head *peerpb.RequestHead, body []byte, answer chestnutroad.Answer,
) error {
	for {
		conn, err := cl.streams.acquire(ctx, address)
		if err != nil {
			return cl.connectError(ctx, err)
		}
		call := &forwardCall{client: cl, conn: conn, address: address, answer: answer, writtenBefore: conn.transport.written.Load()}
		written, err := call.run(ctx, head, body)
		// If nothing was written, the peer had closed the connection while it was idle, so it is safe to try another one.
		if err == nil || written || !conn.reused || ctx.Err() != nil {
			return err
		}
	}
}

// connectError returns the error of a call for which no connection was available.
func (cl *Client) connectError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ctx.Err()
	}
	if errors.Is(err, errPeerLimit) {
		return chestnutroad.Refuse(chestnutroad.Overloaded, err.Error()).WithRetryAfter(peerLimitRetryAfter)
	}
	return callRefusal(ctx, err, false)
}

// forwardCall is one attempt to forward a request on one connection.
type forwardCall struct {
	client        *Client
	conn          *pooledConn
	address       string
	answer        chestnutroad.Answer
	writtenBefore int64
	watchdog      *watchdog
	// partial holds the frames received so far of a chunk that spans several.
	partial []byte
}

// run makes the attempt. It returns whether any byte was written to the connection, and the error of the call.
func (fc *forwardCall) run(ctx context.Context, head *peerpb.RequestHead, body []byte) (bool, error) {
	// drpc closes the connection when the context of a stream ends, so ctx cancels the stream only while the call runs.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, cancel)
	stream, err := peerpb.NewDRPCPeerClient(fc.conn).Forward(streamCtx)
	if err != nil {
		detach()
		cancel()
		return fc.fail(ctx, err)
	}
	fc.client.counters.streams.Inc()
	head.Stamp = fc.client.settings.clock.Stamp()
	fc.watchdog = newWatchdog(&fc.client.settings, func() { _ = fc.conn.transport.Close() })
	heartbeat := startHeartbeat(&fc.client.settings, func() error {
		fc.client.sender.CountKeepAlive()
		return stream.Send(&peerpb.ForwardUp{KeepAlive: true})
	})
	defer heartbeat.stop()
	sent := make(chan error, 1)
	if len(body) <= chunkSize {
		sent <- sendRequest(stream, heartbeat, head, body)
	} else {
		go func() { sent <- sendRequest(stream, heartbeat, head, body) }()
	}
	last, err := fc.receive(stream)
	finished := detach()
	if err == nil && !finished {
		err = ctx.Err()
	}
	if err != nil {
		cancel()
		_ = fc.conn.transport.Close()
		return fc.fail(ctx, errors.CombineErrors(err, <-sent))
	}
	// The peer may respond, for instance with a refusal, before it has read the whole body.
	go fc.finish(stream, sent, cancel)
	fc.client.settings.clock.Observe(last.GetStamp())
	return true, decodeResult(last)
}

// sendRequest sends the head together with the first chunk of the body, then the remaining chunks.
func sendRequest(
	stream peerpb.DRPCPeer_ForwardClient, heartbeat *heartbeat, head *peerpb.RequestHead, body []byte,
) error {
	head.BodyLength = int64(len(body))
	frame := &peerpb.ForwardUp{Head: head}
	for {
		size := min(len(body), chunkSize)
		frame.Body = body[:size]
		body = body[size:]
		if err := stream.Send(frame); err != nil {
			return err
		}
		heartbeat.recordSend()
		if len(body) == 0 {
			return nil
		}
		frame = &peerpb.ForwardUp{}
	}
}

// answerError marks an error returned by the caller's Answer, as opposed to one of the connection.
type answerError struct{ error }

// receive passes frames to the answer up to the final one, which it returns.
func (fc *forwardCall) receive(stream peerpb.DRPCPeer_ForwardClient) (*peerpb.ForwardDown, error) {
	defer fc.watchdog.disarm()
	for {
		fc.watchdog.arm()
		down, err := stream.Recv()
		fc.watchdog.disarm()
		if err != nil {
			return nil, err
		}
		if down.GetKeepAlive() {
			continue
		}
		if down.GetHead() != nil {
			err = fc.answer.Head(int(down.GetHead().GetStatus()), HTTPHeader(down.GetHead().GetHeaders()))
		}
		if err == nil {
			err = fc.receiveChunk(down)
		}
		if err != nil {
			return nil, &answerError{err}
		}
		if down.GetEnd() || down.GetNotOwner() || down.GetRefused() != nil || down.GetRedirectDataCentre() != "" {
			return down, nil
		}
	}
}

// receiveChunk passes a chunk to the answer once all its frames have arrived.
func (fc *forwardCall) receiveChunk(down *peerpb.ForwardDown) error {
	data := down.GetChunk()
	if down.GetMore() || len(fc.partial) > 0 {
		if len(fc.partial)+len(data) > maxWholeChunk {
			return errors.Newf("chunk exceeds the size limit of %d bytes", maxWholeChunk)
		}
		fc.partial = append(fc.partial, data...)
		data = fc.partial
	}
	if down.GetMore() || len(data) == 0 && down.GetTokens() == 0 {
		return nil
	}
	fc.partial = nil
	return fc.answer.Chunk(data, chestnutroad.Tokens(down.GetTokens()))
}

// decodeResult returns the error that the final frame of a response carries, or nil.
func decodeResult(last *peerpb.ForwardDown) error {
	switch {
	case last.GetRedirectDataCentre() != "":
		return &Redirect{DataCentre: chestnutroad.DataCentreID(last.GetRedirectDataCentre())}
	case last.GetNotOwner():
		host := chestnutroad.HostID(last.GetEpochHost())
		return &NotOwner{Epoch: chestnutroad.Epoch{Millis: last.GetEpochMillis(), Host: host}}
	case last.GetRefused() != nil:
		refused := last.GetRefused()
		return &chestnutroad.Refusal{
			Kind:       chestnutroad.Kind(refused.GetKind()),
			Message:    refused.GetMessage(),
			NotRun:     refused.GetNotRun(),
			RetryAfter: time.Duration(refused.GetRetryAfterMillis()) * time.Millisecond,
		}
	}
	return nil
}

// fail closes the connection. It returns whether any byte was written to it, and the error for the caller.
func (fc *forwardCall) fail(ctx context.Context, err error) (bool, error) {
	written := fc.conn.transport.written.Load() != fc.writtenBefore
	fc.client.streams.discard(fc.conn)
	var own *answerError
	if errors.As(err, &own) {
		return written, own.error
	}
	if fc.watchdog != nil && fc.watchdog.timedOut.Load() {
		fc.client.counters.silent.Inc()
		err = errSilent
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return written, ctx.Err()
	}
	fc.client.counters.broken.Inc()
	// Whatever broke this connection, including silence that the peer noticed first, most likely broke the idle ones to it as
	// well.
	fc.client.streams.dropIdle(fc.address)
	fc.client.states.dropIdle(fc.address)
	return written, callRefusal(ctx, err, written)
}

// finish waits until both sides have closed the stream and returns the connection to the pool, unless it broke.
func (fc *forwardCall) finish(stream peerpb.DRPCPeer_ForwardClient, sent <-chan error, cancel context.CancelFunc) {
	defer cancel()
	fc.watchdog.arm()
	defer fc.watchdog.disarm()
	err := <-sent
	if err == nil {
		err = stream.CloseSend()
	}
	for err == nil {
		_, err = stream.Recv()
	}
	<-stream.Context().Done()
	select {
	case <-fc.conn.Closed():
		fc.client.streams.discard(fc.conn)
	default:
		fc.client.streams.release(fc.conn)
	}
}

// FetchState requests state from the host at the address.
func (cl *Client) FetchState(
	ctx context.Context, address string, request *peerpb.FetchStateRequest,
) (*peerpb.FetchStateAnswer, error) {
	var answer *peerpb.FetchStateAnswer
	err := cl.callState(ctx, address, func(ctx context.Context, client peerpb.DRPCPeerClient) (err error) {
		answer, err = client.FetchState(ctx, request)
		return err
	})
	return answer, err
}

// HandOver transfers a shard's state to the host at the address.
func (cl *Client) HandOver(
	ctx context.Context, address string, request *peerpb.HandOverRequest,
) (*peerpb.HandOverAnswer, error) {
	var answer *peerpb.HandOverAnswer
	err := cl.callState(ctx, address, func(ctx context.Context, client peerpb.DRPCPeerClient) (err error) {
		answer, err = client.HandOver(ctx, request)
		return err
	})
	return answer, err
}

// callState makes a call on a connection of the state class.
func (cl *Client) callState(
	ctx context.Context, address string, call func(context.Context, peerpb.DRPCPeerClient) error,
) error {
	ctx, cancel := context.WithTimeout(ctx, defaultStateTimeout)
	defer cancel()
	conn, err := cl.states.acquire(ctx, address)
	if err != nil {
		return err
	}
	if err := call(ctx, peerpb.NewDRPCPeerClient(conn)); err != nil {
		cl.states.discard(conn)
		return errors.Wrap(err, "state call")
	}
	cl.states.release(conn)
	return nil
}

// HTTPHeader converts the headers of a peer message to an http.Header.
func HTTPHeader(headers []*peerpb.Header) http.Header {
	header := make(http.Header, len(headers))
	for _, pair := range headers {
		header.Add(pair.GetName(), pair.GetValue())
	}
	return header
}

// ProtoHeader converts an http.Header to the headers of a peer message.
func ProtoHeader(header http.Header) []*peerpb.Header {
	headers := make([]*peerpb.Header, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			headers = append(headers, &peerpb.Header{Name: name, Value: value})
		}
	}
	return headers
}
