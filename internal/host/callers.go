package host

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chestnutroad/chestnutroad/internal/callerconn"
)

// idleSweepInterval is the pause between two sweeps of callers' idle connections.
const idleSweepInterval = time.Second

// callerServer serves callers and closes their idle connections itself: net/http also closes those on which the head of a request
// arrives.
type callerServer struct {
	server   *http.Server
	listener *callerconn.Listener
	conns    *callerconn.Pool
	logger   *log.Logger
	// idleTimeout is how long a connection may be idle.
	idleTimeout time.Duration
	// accepted is closed when the server has registered its last connection.
	accepted chan struct{}
}

func newCallerServer(server *http.Server, listener net.Listener, logger *log.Logger) (*callerServer, error) {
	cs := &callerServer{
		server: server, conns: callerconn.NewPool(), logger: logger, idleTimeout: server.IdleTimeout, accepted: make(chan struct{}),
	}
	var err error
	cs.listener, err = callerconn.NewListener(listener, cs.conns, logger)
	if err != nil {
		return nil, err
	}
	cs.conns.Attach(server)
	server.Handler = cs.refuseClosing(server.Handler)
	return cs, nil
}

// refuseClosing returns a handler that drops requests on a connection that is being closed, since their answer would be lost.
func (cs *callerServer) refuseClosing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, req *http.Request) {
		if cs.conns.Closing(req.Context()) {
			cs.logger.Warn("request arrived on a connection that was being closed")
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(writer, req)
	})
}

// serve serves callers until the listener or the server is closed, with TLS if a certificate file is given.
func (cs *callerServer) serve(certificateFile, keyFile string) error {
	defer close(cs.accepted)
	if certificateFile == "" {
		return ignoreClosed(cs.server.Serve(cs.listener))
	}
	return ignoreClosed(cs.server.ServeTLS(cs.listener, certificateFile, keyFile))
}

// sweepIdle closes idle connections until ctx ends.
func (cs *callerServer) sweepIdle(ctx context.Context) {
	every(ctx, idleSweepInterval, func() { cs.conns.CloseIdle(time.Now(), cs.idleTimeout) })
}

// drain accepts no more connections and closes the others as they become idle. It reports whether none was left before ctx ended.
func (cs *callerServer) drain(ctx context.Context) bool {
	cs.listener.CloseWhenEmpty(callerconn.AcceptTimeout)
	// A connection that was accepted just before the close is tracked only once the server has registered it.
	<-cs.accepted
	for cs.conns.CloseIdle(time.Now(), callerconn.DrainIdleTimeout) > 0 {
		if ctx.Err() != nil {
			return false
		}
		pause(ctx, callerconn.DrainInterval)
	}
	return true
}
