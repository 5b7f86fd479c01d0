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
	streams  *connPool
	states   *connPool
	sender   *Sender

	stop    chan struct{}
	stopped sync.Once
}

// NewClient returns a client of the host self. The sender, which may be nil, counts keep-alive frames against the
// control budget.
func NewClient(self chestnutroad.HostID, key []byte, sender *Sender, opts ...Option) (*Client, error) {
	if len(key) < minimumClusterKeySize {
		return nil, errShortKey
	}
	if len(self) > maxHostIDLength {
		return nil, errors.Newf("host id %q is too long", self)
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

// Close closes the idle connections; calls in progress go on.
func (cl *Client) Close() {
	cl.stopped.Do(func() { close(cl.stop) })
	cl.streams.close()
	cl.states.close()
}

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

func (cl *Client) dial(ctx context.Context, address string, class connClass) (*countingConn, error) {
	dialer := net.Dialer{Timeout: cl.settings.dialTimeout, KeepAliveConfig: keepAliveConfig()}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	if err := greetServer(conn, cl.key, hello{class: class, host: cl.self}); err != nil {
		_ = conn.Close()
		return nil, err
	}
	cl.counters.dialled.Inc()
	return &countingConn{Conn: conn}, nil
}

// Forward sends a request to the host at the address and passes the answer on. It returns nil at the end of the
// answer, a *Redirect, a *NotOwner, or a *chestnutroad.Refusal whose NotRun is true only when nothing was written to
// the host or the host said so. The body must not change afterwards, since an early answer may come before all of it
// is sent. An error of the answer's methods, and the cancellation of ctx, come back as they are.
func (cl *Client) Forward(
	ctx context.Context, address string, head *peerpb.RequestHead, body []byte, answer chestnutroad.Answer,
) error {
	for {
		conn, err := cl.streams.take(ctx, address)
		if err != nil {
			return cl.notSent(ctx, err)
		}
		call := &forwardCall{client: cl, conn: conn, address: address, answer: answer, before: conn.transport.written.Load()}
		written, err := call.run(ctx, head, body)
		// A connection that the peer closed while it was idle took no byte of the request, so another one can be tried.
		if err == nil || written || !conn.reused || ctx.Err() != nil {
			return err
		}
	}
}

func (cl *Client) notSent(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ctx.Err()
	}
	if errors.Is(err, errPeerLimit) {
		return chestnutroad.Refuse(chestnutroad.Overloaded, err.Error()).WithRetryAfter(peerLimitRetry)
	}
	return refusal(ctx, err, false)
}

// forwardCall is one attempt to forward a request on one connection.
type forwardCall struct {
	client  *Client
	conn    *pooledConn
	address string
	answer  chestnutroad.Answer
	before  int64
	silence *silence
	// partial holds the frames of a chunk that is not whole yet.
	partial []byte
}

// run returns whether any byte of the call was written, and its result.
func (fc *forwardCall) run(ctx context.Context, head *peerpb.RequestHead, body []byte) (bool, error) {
	// drpc closes the connection when the context of a stream ends, so the stream's own ends only with an unfinished call.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, cancel)
	stream, err := peerpb.NewDRPCPeerClient(fc.conn).Forward(streamCtx)
	if err != nil {
		detach()
		cancel()
		return fc.broken(ctx, err)
	}
	fc.client.counters.streams.Inc()
	head.Stamp = fc.client.settings.stamps.Stamp()
	fc.silence = newSilence(&fc.client.settings, func() { _ = fc.conn.transport.Close() })
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
		return fc.broken(ctx, errors.CombineErrors(err, <-sent))
	}
	// The peer may answer, with a refusal for instance, before it has read the whole body.
	go fc.finish(stream, sent, cancel)
	fc.client.settings.stamps.Observe(last.GetStamp())
	return true, resultOf(last)
}

// sendRequest sends the head with the first piece of the body, then the rest.
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
		heartbeat.sent()
		if len(body) == 0 {
			return nil
		}
		frame = &peerpb.ForwardUp{}
	}
}

// answerError is an error of the caller's own Answer.
type answerError struct{ error }

// receive passes frames on until the last one, which it returns.
func (fc *forwardCall) receive(stream peerpb.DRPCPeer_ForwardClient) (*peerpb.ForwardDown, error) {
	defer fc.silence.heard()
	for {
		fc.silence.wait()
		down, err := stream.Recv()
		fc.silence.heard()
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

// receiveChunk passes a chunk on once all its frames are there.
func (fc *forwardCall) receiveChunk(down *peerpb.ForwardDown) error {
	data := down.GetChunk()
	if down.GetMore() || len(fc.partial) > 0 {
		if len(fc.partial)+len(data) > maxWholeChunk {
			return errors.New("a chunk is over the limit")
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

func resultOf(last *peerpb.ForwardDown) error {
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

// broken gives up the connection and returns the error for the caller.
func (fc *forwardCall) broken(ctx context.Context, err error) (bool, error) {
	written := fc.conn.transport.written.Load() != fc.before
	fc.client.streams.discard(fc.conn)
	var own *answerError
	if errors.As(err, &own) {
		return written, own.error
	}
	if fc.silence != nil && fc.silence.silent.Load() {
		fc.client.counters.silent.Inc()
		err = errSilent
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return written, ctx.Err()
	}
	fc.client.counters.broken.Inc()
	// What broke this connection, be it silence that the other side noticed first, broke the idle ones as well.
	fc.client.streams.dropIdle(fc.address)
	fc.client.states.dropIdle(fc.address)
	return written, refusal(ctx, err, written)
}

// finish closes the stream on both sides, after which the connection can carry another one.
func (fc *forwardCall) finish(stream peerpb.DRPCPeer_ForwardClient, sent <-chan error, cancel context.CancelFunc) {
	defer cancel()
	fc.silence.wait()
	defer fc.silence.heard()
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
		fc.client.streams.put(fc.conn)
	}
}

// FetchState asks the host at the address for state.
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

// HandOver gives a shard's state to the host at the address.
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

func (cl *Client) callState(
	ctx context.Context, address string, call func(context.Context, peerpb.DRPCPeerClient) error,
) error {
	ctx, cancel := context.WithTimeout(ctx, defaultStateTimeout)
	defer cancel()
	conn, err := cl.states.take(ctx, address)
	if err != nil {
		return err
	}
	if err := call(ctx, peerpb.NewDRPCPeerClient(conn)); err != nil {
		cl.states.discard(conn)
		return errors.Wrap(err, "state call")
	}
	cl.states.put(conn)
	return nil
}

// HTTPHeader returns the header of a message between hosts.
func HTTPHeader(headers []*peerpb.Header) http.Header {
	header := make(http.Header, len(headers))
	for _, pair := range headers {
		header.Add(pair.GetName(), pair.GetValue())
	}
	return header
}

// ProtoHeader returns the header for a message between hosts.
func ProtoHeader(header http.Header) []*peerpb.Header {
	headers := make([]*peerpb.Header, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			headers = append(headers, &peerpb.Header{Name: name, Value: value})
		}
	}
	return headers
}
