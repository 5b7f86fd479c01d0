package caller

import (
	"crypto/rand"
	"io"
	"net/http"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	chatPath             = "/v1/chat/completions"
	defaultWriteTimeout  = 30 * time.Second
	defaultReadTimeout   = 30 * time.Second
	defaultHeaderTimeout = 10 * time.Second
	maxHeaderBytes       = 64 << 10
	// defaultMaxOpenRequests limits the memory that callers can occupy on one host.
	defaultMaxOpenRequests = 20_000
)

// Observer is called for each exchange once its handler has returned; refusal is nil if it was served.
type Observer func(ex *Exchange, refusal *chestnutroad.Refusal)

// Server turns HTTP requests into forwarded calls.
type Server struct {
	directory    func() chestnutroad.Directory
	forwarder    chestnutroad.Forwarder
	observe      Observer
	ready        func() bool
	closing      func() bool
	now          func() time.Time
	writeTimeout time.Duration
	readTimeout  time.Duration
	random       io.Reader
	openRequests chan struct{}
	handler      Handler
}

// Option changes a default of a Server.
type Option func(sv *Server)

// WithObserver sets the function that is called for each exchange.
func WithObserver(fn Observer) Option { return func(sv *Server) { sv.observe = fn } }

// WithReady makes the server refuse requests as Draining while fn returns false.
func WithReady(fn func() bool) Option { return func(sv *Server) { sv.ready = fn } }

// WithClosing makes answers ask callers not to reuse their connection while fn returns true.
func WithClosing(fn func() bool) Option { return func(sv *Server) { sv.closing = fn } }

// WithWriteTimeout limits the time for each write to a caller.
func WithWriteTimeout(limit time.Duration) Option {
	return func(sv *Server) { sv.writeTimeout = limit }
}

// WithReadTimeout limits the time in which a caller must send its body.
func WithReadTimeout(limit time.Duration) Option {
	return func(sv *Server) { sv.readTimeout = limit }
}

// WithMaxOpenRequests limits the number of requests that are open at once.
func WithMaxOpenRequests(limit int) Option {
	return func(sv *Server) { sv.openRequests = make(chan struct{}, limit) }
}

// New returns a server that calls directory for the current configuration at each request.
func New(directory func() chestnutroad.Directory, forwarder chestnutroad.Forwarder, opts ...Option) *Server {
	sv := &Server{
		directory:    directory,
		forwarder:    forwarder,
		observe:      func(*Exchange, *chestnutroad.Refusal) {},
		ready:        func() bool { return true },
		closing:      func() bool { return false },
		now:          time.Now,
		writeTimeout: defaultWriteTimeout,
		readTimeout:  defaultReadTimeout,
		random:       rand.Reader,
		openRequests: make(chan struct{}, defaultMaxOpenRequests),
	}
	for _, opt := range opts {
		opt(sv)
	}
	sv.handler = sv.chain()
	return sv
}

// chain returns a handler that passes a request through the filters, in the order listed, to forward.
func (sv *Server) chain() Handler {
	filters := []Filter{
		sv.limitConcurrency,
		sv.checkReady,
		sv.assignRequestID,
		sv.authenticate,
		sv.readBody,
		sv.route,
		sv.authorise,
		sv.requireKey,
		sv.setDeadline,
	}
	handler := Handler(sv.forward)
	for index := len(filters) - 1; index >= 0; index-- {
		handler = filters[index](handler)
	}
	return handler
}

// ServeHTTP serves one request from a caller.
func (sv *Server) ServeHTTP(writer http.ResponseWriter, req *http.Request) {
	ex := &Exchange{Writer: writer, HTTP: req, Directory: sv.directory(), Started: sv.now(), closing: sv.closing}
	err := sv.handler(ex)
	var refusal *chestnutroad.Refusal
	if err != nil {
		refusal = chestnutroad.RefusalOf(err)
	}
	sv.observe(ex, refusal)
	if refusal != nil {
		writeRefusal(ex, refusal)
	}
}

// HTTPServer returns a net/http server for sv with limits that protect the host from slow or endless headers.
func (sv *Server) HTTPServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("/", sv)
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
