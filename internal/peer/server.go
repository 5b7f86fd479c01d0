package peer

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/peer/peerpb"
)

// Handler serves the calls of other hosts.
type Handler interface {
	// Forward runs a request and writes its response to answer. It may return a *Redirect, a *NotOwner or a
	// *chestnutroad.Refusal; any other error becomes an Internal refusal. ctx ends when the calling host cancels the
	// request or its connection goes silent.
	Forward(ctx context.Context, head *peerpb.RequestHead, body []byte, answer chestnutroad.Answer) error
	// FetchState returns the requested state to the calling host.
	FetchState(ctx context.Context, request *peerpb.FetchStateRequest) (*peerpb.FetchStateAnswer, error)
	// HandOver takes over a shard's state from the calling host.
	HandOver(ctx context.Context, request *peerpb.HandOverRequest) (*peerpb.HandOverAnswer, error)
}

// Server accepts connections of other hosts and passes their calls to a Handler.
type Server struct {
	settings settings
	key      []byte
	handler  Handler
	counters *streamCounters
	sender   *Sender
	// slots, handshakes and stateCalls have one item for each connection, handshake and state call in progress and bound them.
	slots      chan struct{}
	handshakes chan struct{}
	stateCalls chan struct{}
	running    sync.WaitGroup
	active     atomic.Int64
}

// NewServer returns a server for the handler. The sender, which may be nil, charges keep-alive frames to the control
// budget.
func NewServer(handler Handler, key []byte, sender *Sender, opts ...Option) (*Server, error) {
	if len(key) < minClusterKeySize {
		return nil, errShortKey
	}
	st := newSettings(opts)
	return &Server{
		settings:   st,
		key:        key,
		handler:    handler,
		counters:   newStreamCounters(st.metrics, "server"),
		sender:     sender,
		slots:      make(chan struct{}, st.maxConnections),
		handshakes: make(chan struct{}, maxHandshakes),
		stateCalls: make(chan struct{}, maxStateCalls),
	}, nil
}

// Listen opens a TCP listener whose connections have TCP keep-alive enabled.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAliveConfig()}
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrap(err, "listen for peers")
}

// Serve accepts connections until ctx ends, then closes the listener and all connections and waits for the calls to end.
func (sv *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	defer sv.running.Wait()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		var temporary net.Error
		if errors.As(err, &temporary) && !errors.Is(err, net.ErrClosed) {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		sv.accept(ctx, conn)
	}
}

// acceptRetryDelay is the pause after a temporary error; without it a lack of file descriptors would cause a busy loop.
const acceptRetryDelay = 50 * time.Millisecond

// accept serves the connection in a goroutine, or closes it at the limit of connections.
func (sv *Server) accept(ctx context.Context, conn net.Conn) {
	select {
	case sv.slots <- struct{}{}:
	default:
		sv.counters.rejected.Inc()
		_ = conn.Close()
		return
	}
	sv.running.Go(func() {
		defer func() { <-sv.slots }()
		defer func() { _ = conn.Close() }()
		sv.serve(ctx, conn)
	})
}

// serve performs the handshake and serves the calls of one connection.
func (sv *Server) serve(ctx context.Context, conn net.Conn) {
	select {
	case sv.handshakes <- struct{}{}:
	default:
		sv.counters.rejected.Inc()
		return
	}
	hl, err := serverHandshake(conn, sv.key)
	<-sv.handshakes
	if err != nil {
		sv.counters.rejected.Inc()
		return
	}
	limit := maxFrame
	if hl.class == classState {
		limit = sv.settings.maxState
	}
	mux := drpcmux.New()
	service := &peerService{server: sv, host: hl.host, class: hl.class, closeConn: func() { _ = conn.Close() }}
	if err := peerpb.DRPCRegisterPeer(mux, service); err != nil {
		return
	}
	// The error is only the reason for the end of the connection; calls return their own errors.
	_ = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions(limit)}).ServeOne(ctx, conn)
}

// Active returns the number of forwarded requests in progress.
func (sv *Server) Active() int64 { return sv.active.Load() }

type callingHostKey struct{}

// CallingHost returns the id of the host that made the call, taken from the context of a Handler method.
func CallingHost(ctx context.Context) chestnutroad.HostID {
	host, _ := ctx.Value(callingHostKey{}).(chestnutroad.HostID)
	return host
}

// peerService serves the calls of one connection.
type peerService struct {
	server    *Server
	host      chestnutroad.HostID
	class     connClass
	closeConn func()
}

var _ peerpb.DRPCPeerServer = (*peerService)(nil)

// Forward receives a forwarded request, runs it with the handler and sends the response.
func (sr *peerService) Forward(stream peerpb.DRPCPeer_ForwardStream) error {
	sr.server.counters.streams.Inc()
	sr.server.active.Add(1)
	defer sr.server.active.Add(-1)
	watchdog := newWatchdog(&sr.server.settings, sr.closeConn)
	defer watchdog.disarm()
	heartbeat := startHeartbeat(&sr.server.settings, func() error {
		sr.server.sender.CountKeepAlive()
		return stream.Send(&peerpb.ForwardDown{KeepAlive: true})
	})
	defer heartbeat.stop()
	head, body, err := sr.receiveRequest(stream, watchdog)
	var refused *chestnutroad.Refusal
	if err != nil && !errors.As(err, &refused) {
		return err
	}
	ctx, cancel := context.WithCancelCause(context.WithValue(stream.Context(), callingHostKey{}, sr.host))
	defer cancel(nil)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		cancel(sr.awaitEnd(stream, watchdog))
	}()
	sr.server.settings.clock.Observe(head.GetStamp())
	answer := &streamAnswer{stream: stream, heartbeat: heartbeat, streamed: head.GetStreamed()}
	if err == nil {
		err = sr.server.handler.Forward(ctx, head, body, answer)
	}
	last := encodeResult(err)
	last.Stamp = sr.server.settings.clock.Stamp()
	if err := answer.finish(last); err != nil {
		sr.server.counters.broken.Inc()
		return err
	}
	heartbeat.stop()
	if err := stream.CloseSend(); err != nil {
		return err
	}
	<-ended
	return nil
}

// receiveRequest returns the head and the whole body, or a refusal if the body is too large.
func (sr *peerService) receiveRequest(
	stream peerpb.DRPCPeer_ForwardStream, watchdog *watchdog,
) (*peerpb.RequestHead, []byte, error) {
	var head *peerpb.RequestHead
	var body []byte
	for head == nil || int64(len(body)) < head.GetBodyLength() {
		watchdog.arm()
		up, err := stream.Recv()
		watchdog.disarm()
		if err != nil {
			return nil, nil, errors.CombineErrors(errIncompleteBody, err)
		}
		if up.GetCancel() {
			return nil, nil, errCancelled
		}
		if up.GetHead() != nil && head == nil {
			head = up.GetHead()
			if head.GetBodyLength() < 0 || head.GetBodyLength() > sr.server.settings.maxBody {
				return nil, nil, chestnutroad.Refuse(chestnutroad.TooLarge, "request body exceeds the limit for forwarded requests")
			}
			body = make([]byte, 0, head.GetBodyLength())
		}
		if head != nil && int64(len(body)+len(up.GetBody())) <= head.GetBodyLength() {
			body = append(body, up.GetBody()...)
		}
	}
	return head, body, nil
}

// awaitEnd reads the frames after the request, normally only keep-alive frames, until the stream ends, and returns the reason
// for the end.
func (sr *peerService) awaitEnd(stream peerpb.DRPCPeer_ForwardStream, watchdog *watchdog) error {
	for {
		watchdog.arm()
		up, err := stream.Recv()
		watchdog.disarm()
		if watchdog.timedOut.Load() {
			sr.server.counters.silent.Inc()
			return errSilent
		}
		if err != nil {
			return err
		}
		if up.GetCancel() {
			return errCancelled
		}
	}
}

// FetchState passes a request for state to the handler.
func (sr *peerService) FetchState(
	ctx context.Context, request *peerpb.FetchStateRequest,
) (*peerpb.FetchStateAnswer, error) {
	if err := sr.acquireStateCall(ctx); err != nil {
		return nil, err
	}
	defer sr.releaseStateCall()
	return sr.server.handler.FetchState(context.WithValue(ctx, callingHostKey{}, sr.host), request)
}

// HandOver passes the handover of a shard to the handler.
func (sr *peerService) HandOver(
	ctx context.Context, request *peerpb.HandOverRequest,
) (*peerpb.HandOverAnswer, error) {
	if err := sr.acquireStateCall(ctx); err != nil {
		return nil, err
	}
	defer sr.releaseStateCall()
	return sr.server.handler.HandOver(context.WithValue(ctx, callingHostKey{}, sr.host), request)
}

// acquireStateCall waits for a slot. The slots bound concurrent state calls, since each may hold a whole shard's state.
func (sr *peerService) acquireStateCall(ctx context.Context) error {
	select {
	case sr.server.stateCalls <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (sr *peerService) releaseStateCall() { <-sr.server.stateCalls }

// streamAnswer writes a handler's response to the stream. Chunk blocks while the receiver is slow.
type streamAnswer struct {
	stream    peerpb.DRPCPeer_ForwardStream
	heartbeat *heartbeat
	// streamed is true for a response of server-sent events. The receiver passes on events of up to maxWholeChunk bytes
	// only whole: if the stream broke inside an event, the caller would otherwise get its beginning twice.
	streamed bool
	// pending is a frame that is not sent yet: the head, and the body if that is complete and fits the frame.
	// finish sends it as the final frame.
	pending *peerpb.ForwardDown
	// bodyLength is the Content-Length of the pending head, or -1 if it has none.
	bodyLength int
}

// Head sends the status and the header. For a response that is not streamed it delays them, so that a short body can share
// their frame, which saves a write.
func (an *streamAnswer) Head(status int, header http.Header) error {
	down := &peerpb.ForwardDown{Head: &peerpb.AnswerHead{Status: int32(status), Headers: ProtoHeader(header)}}
	if an.streamed {
		return an.send(down)
	}
	an.pending = down
	an.bodyLength = contentLength(header)
	return nil
}

// contentLength returns the value of the Content-Length header, or -1 if it is missing or invalid.
func contentLength(header http.Header) int {
	length, err := strconv.Atoi(header.Get("Content-Length"))
	if err != nil {
		return -1
	}
	return length
}

// flush sends the pending frame, if any.
func (an *streamAnswer) flush() error {
	if an.pending == nil {
		return nil
	}
	down := an.pending
	an.pending = nil
	return an.send(down)
}

// finish sends the final frame, combined with the pending frame if the response is complete.
func (an *streamAnswer) finish(last *peerpb.ForwardDown) error {
	if an.pending != nil && last.GetEnd() {
		an.pending.End = true
		an.pending.Stamp = last.GetStamp()
		return an.flush()
	}
	if err := an.flush(); err != nil {
		return err
	}
	return an.stream.Send(last)
}

// Chunk sends a piece of the body. A piece larger than chunkSize is split into several frames; the last has the tokens.
func (an *streamAnswer) Chunk(data []byte, tokens chestnutroad.Tokens) error {
	if an.pending != nil && len(an.pending.GetChunk()) == 0 && len(data) == an.bodyLength && len(data) <= chunkSize {
		an.pending.Chunk = bytes.Clone(data)
		an.pending.Tokens = int64(tokens)
		return nil
	}
	if err := an.flush(); err != nil {
		return err
	}
	more := an.streamed && len(data) <= maxWholeChunk
	for len(data) > chunkSize {
		if err := an.send(&peerpb.ForwardDown{Chunk: data[:chunkSize], More: more}); err != nil {
			return err
		}
		data = data[chunkSize:]
	}
	return an.send(&peerpb.ForwardDown{Chunk: data, Tokens: int64(tokens)})
}

// send sends a frame and postpones the next keep-alive frame.
func (an *streamAnswer) send(down *peerpb.ForwardDown) error {
	an.heartbeat.recordSend()
	err := an.stream.Send(down)
	an.heartbeat.recordSend()
	return err
}
