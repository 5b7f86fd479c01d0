package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/target"
)

// Server serves a stand-in over HTTP/1.1 and unencrypted HTTP/2.
type Server struct {
	faults   *FaultInjector
	listener *listener
	http     *http.Server
}

// connKey is the context key of a request's connection.
type connKey struct{}

const readHeaderTimeout = 10 * time.Second

// Start serves the handler on the address. The active faults apply to all paths except those below /admin/.
func Start(address string, faults *FaultInjector, handler http.Handler) (*Server, error) {
	ln, err := listen(address)
	if err != nil {
		return nil, err
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	sv := &Server{faults: faults, listener: ln}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/faults", sv.getFaults)
	mux.HandleFunc("POST /admin/faults", sv.setFaults)
	mux.Handle("/admin/", handler)
	mux.Handle("/", WithFaults(faults, handler))
	sv.http = &http.Server{
		Handler:           mux,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext: func(ctx context.Context, cn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, cn)
		},
	}
	go func() { _ = sv.http.Serve(ln) }()
	return sv, nil
}

// Address returns the IP address and port that the server listens on.
func (sv *Server) Address() string { return sv.listener.Addr().String() }

// FaultInjector returns the injector of the server's faults.
func (sv *Server) FaultInjector() *FaultInjector { return sv.faults }

// Silence makes the connections that are open now go silent; connections opened later work.
func (sv *Server) Silence() { sv.silence(nil) }

func (sv *Server) silence(except net.Conn) {
	for _, cn := range sv.listener.openConns() {
		if net.Conn(cn) != except {
			cn.silent.Store(true)
		}
	}
}

// Close closes the listener and all connections, including silent ones.
func (sv *Server) Close() error {
	err := sv.http.Close()
	for _, cn := range sv.listener.openConns() {
		_ = cn.forceClose()
	}
	return err
}

func (sv *Server) getFaults(rw http.ResponseWriter, _ *http.Request) {
	WriteJSON(rw, http.StatusOK, sv.faults.Get())
}

// setFaults changes the faults that are in the body and leaves the others. SilenceConnections is an action: it makes the
// connections that are open now go silent, except the one that carries the request.
func (sv *Server) setFaults(rw http.ResponseWriter, req *http.Request) {
	var request struct {
		Faults
		SilenceConnections bool
	}
	var err error
	sv.faults.Change(func(faults *Faults) {
		request.Faults = *faults
		decoder := json.NewDecoder(http.MaxBytesReader(rw, req.Body, maxAdminBytes))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(&request)
		if err == nil {
			*faults = request.Faults
		}
	})
	if err != nil {
		WriteError(rw, http.StatusBadRequest, err.Error())
		return
	}
	if request.SilenceConnections {
		own, _ := req.Context().Value(connKey{}).(net.Conn)
		sv.silence(own)
	}
	WriteJSON(rw, http.StatusOK, sv.faults.Get())
}

const maxAdminBytes = 1 << 20

// WithFaults wraps a handler and injects the faults that apply to every kind of request.
func WithFaults(injector *FaultInjector, next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		faults := injector.Get()
		if Sleep(req.Context(), time.Duration(faults.Slow)) != nil {
			return
		}
		switch {
		case faults.Down:
			Abort(rw)
		case faults.Unavailable:
			WriteError(rw, http.StatusServiceUnavailable, "the stand-in is unavailable")
		case injector.TakeRefusal():
			WriteNotRun(rw, "the request was refused before it ran")
		case injector.TakeGarbage():
			writeGarbage(rw)
		default:
			next.ServeHTTP(rw, req)
		}
	})
}

// Sleep waits for the duration. If the context ends first, it returns the context's error.
func Sleep(ctx context.Context, span time.Duration) error {
	if span <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Abort resets the connection, or over HTTP/2 the stream.
func Abort(rw http.ResponseWriter) {
	raw, _, err := http.NewResponseController(rw).Hijack()
	if errors.Is(err, http.ErrNotSupported) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		return
	}
	if cn, ok := raw.(*conn); ok {
		cn.reset()
		return
	}
	_ = raw.Close()
}

// writeGarbage answers with bytes that are not HTTP or, over HTTP/2, with a body that is not JSON.
func writeGarbage(rw http.ResponseWriter) {
	raw, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		rw.Header().Set("Content-Type", "application/json")
		_, _ = rw.Write([]byte("}{ not JSON"))
		return
	}
	_, _ = raw.Write([]byte("\x00\x01 not HTTP\r\n\r\n"))
	_ = raw.Close()
}

// WriteJSON answers with the value as JSON.
func WriteJSON(rw http.ResponseWriter, status int, value any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(value)
}

// ErrorBody is the JSON body of an error answer.
type ErrorBody struct {
	Error ErrorText
}

// ErrorText describes the error of an ErrorBody.
type ErrorText struct {
	Message string
}

// WriteError answers with the status and an ErrorBody.
func WriteError(rw http.ResponseWriter, status int, message string) {
	WriteJSON(rw, status, ErrorBody{Error: ErrorText{Message: message}})
}

// WriteNotRun refuses a request with 503 and the header which says that the request did not run.
func WriteNotRun(rw http.ResponseWriter, message string) {
	rw.Header().Set(target.HeaderNotRun, "true")
	rw.Header().Set("Retry-After", "1")
	WriteError(rw, http.StatusServiceUnavailable, message)
}
