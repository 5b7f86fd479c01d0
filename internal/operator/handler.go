package operator

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// The paths of the operators' port.
const (
	PathMetrics = "/metrics"
	PathHealth  = "/health"
	PathReady   = "/ready"
	PathStatus  = "/status"
	PathProfile = "/debug/pprof/"
)

// Readiness is the answer of /ready: whether the host takes requests, and why parts of it are not ready.
type Readiness struct {
	Ready   bool
	Reasons []Reason
}

// Handler is the HTTP handler of the operators' port.
type Handler struct {
	mux       *http.ServeMux
	set       *metrics.Set
	reasons   func() []Reason
	status    func() Status
	profiling bool
}

// Option changes what a Handler serves.
type Option func(*Handler)

// WithMetrics serves the metrics set in addition to the metrics of the process.
func WithMetrics(set *metrics.Set) Option {
	return func(hd *Handler) { hd.set = set }
}

// WithReadiness sets the function that returns the reasons why the host is not ready; without it a host is always ready.
func WithReadiness(reasons func() []Reason) Option {
	return func(hd *Handler) { hd.reasons = reasons }
}

// WithStatus sets the function that returns the status; without it /status answers with an empty Status.
func WithStatus(status func() Status) Option {
	return func(hd *Handler) { hd.status = status }
}

// WithProfiling enables /debug/pprof if allowed is true.
func WithProfiling(allowed bool) Option {
	return func(hd *Handler) { hd.profiling = allowed }
}

// New returns a handler with the options.
func New(options ...Option) *Handler {
	hd := &Handler{
		mux:     http.NewServeMux(),
		set:     metrics.NewSet(),
		reasons: func() []Reason { return nil },
		status:  func() Status { return Status{} },
	}
	for _, option := range options {
		option(hd)
	}
	hd.register()
	return hd
}

func (hd *Handler) register() {
	hd.mux.HandleFunc("GET "+PathMetrics, hd.serveMetrics)
	hd.mux.HandleFunc("GET "+PathHealth, hd.serveHealth)
	hd.mux.HandleFunc("GET "+PathReady, hd.serveReady)
	hd.mux.HandleFunc("GET "+PathStatus, hd.serveStatus)
	if !hd.profiling {
		return
	}
	hd.mux.HandleFunc(PathProfile, pprof.Index)
	hd.mux.HandleFunc(PathProfile+"cmdline", pprof.Cmdline)
	hd.mux.HandleFunc(PathProfile+"profile", pprof.Profile)
	hd.mux.HandleFunc(PathProfile+"symbol", pprof.Symbol)
	hd.mux.HandleFunc(PathProfile+"trace", pprof.Trace)
}

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 * 1024
)

// NewServer returns an HTTP server for the operators' port. It limits the time to read a request but not the time to answer
// it, since a profile takes as long as the request asks for.
func NewServer(hd *Handler) *http.Server {
	return &http.Server{
		Handler:           hd,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// ServeHTTP routes a request to the handler of its path.
func (hd *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	hd.mux.ServeHTTP(writer, request)
}

func (hd *Handler) serveMetrics(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	hd.set.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}

// serveHealth always answers 200 OK; a host that is not ready is still healthy.
func (hd *Handler) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, struct{ Healthy bool }{true})
}

func (hd *Handler) serveReady(writer http.ResponseWriter, _ *http.Request) {
	reasons := hd.reasons()
	answer := Readiness{Ready: isReady(reasons), Reasons: append([]Reason{}, reasons...)}
	status := http.StatusOK
	if !answer.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(writer, status, answer)
}

func (hd *Handler) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, hd.status())
}

func writeJSON(writer http.ResponseWriter, status int, answer any) {
	data, err := json.MarshalIndent(answer, "", "  ")
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// The write fails if the client has disconnected; there is nobody else to report that to.
	_, _ = writer.Write(append(data, '\n'))
}
