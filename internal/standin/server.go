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

// Server serves a stand-in on a loopback address, over HTTP/1.1 and unencrypted HTTP/2.
type Server struct {
	switches *FaultInjector
	listener *listener
	http     *http.Server
}

type connKey struct{}

const readHeaderTimeout = 10 * time.Second

// Start serves the handler at the address; the switches' faults apply to all paths but those below /admin/.
func Start(address string, switches *FaultInjector, handler http.Handler) (*Server, error) {
	ln, err := listen(address)
	if err != nil {
		return nil, err
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	sv := &Server{switches: switches, listener: ln}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/faults", sv.getFaults)
	mux.HandleFunc("POST /admin/faults", sv.setFaults)
	mux.Handle("/admin/", handler)
	mux.Handle("/", WithFaults(switches, handler))
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

// Address returns the IP number and port that the server listens on.
func (sv *Server) Address() string { return sv.listener.Addr().String() }

// FaultInjector returns the server's faults.
func (sv *Server) FaultInjector() *FaultInjector { return sv.switches }

// Silence makes all connections that are open now go silent; new ones work.
func (sv *Server) Silence() { sv.silence(nil) }

func (sv *Server) silence(except net.Conn) {
	for _, cn := range sv.listener.open() {
		if net.Conn(cn) != except {
			cn.silent.Store(true)
		}
	}
}

// Close closes the listener and all connections.
func (sv *Server) Close() error {
	err := sv.http.Close()
	for _, cn := range sv.listener.open() {
		_ = cn.end()
	}
	return err
}

func (sv *Server) getFaults(rw http.ResponseWriter, _ *http.Request) {
	WriteJSON(rw, http.StatusOK, sv.switches.Get())
}

// setFaults changes the faults that the body names and leaves the others. SilenceConnections is an action: it makes
// the connections that are open now go silent, except the one that the order came on.
func (sv *Server) setFaults(rw http.ResponseWriter, req *http.Request) {
	var order struct {
		Faults
		SilenceConnections bool
	}
	var err error
	sv.switches.Change(func(faults *Faults) {
		order.Faults = *faults
		decoder := json.NewDecoder(http.MaxBytesReader(rw, req.Body, maxAdminBody))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(&order)
		if err == nil {
			*faults = order.Faults
		}
	})
	if err != nil {
		WriteError(rw, http.StatusBadRequest, err.Error())
		return
	}
	if order.SilenceConnections {
		own, _ := req.Context().Value(connKey{}).(net.Conn)
		sv.silence(own)
	}
	WriteJSON(rw, http.StatusOK, sv.switches.Get())
}

const maxAdminBody = 1 << 20

// WithFaults applies the faults that concern every kind of request.
func WithFaults(switches *FaultInjector, next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		faults := switches.Get()
		if Sleep(req.Context(), time.Duration(faults.Slow)) != nil {
			return
		}
		switch {
		case faults.Down:
			Abort(rw)
		case faults.Unavailable:
			WriteError(rw, http.StatusServiceUnavailable, "out of service")
		case switches.TakeRefusal():
			WriteNotRun(rw, "refused before start")
		case switches.TakeGarbage():
			writeGarbage(rw)
		default:
			next.ServeHTTP(rw, req)
		}
	})
}

// Sleep waits for the span or for the end of the context, whose error it returns.
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

// Abort resets the connection, or the stream on HTTP/2.
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

// writeGarbage breaks the HTTP protocol where it can, and the JSON format on HTTP/2.
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

// ErrorBody is the JSON form of a stand-in's refusal.
type ErrorBody struct {
	Error ErrorText
}

// ErrorText is the cause of a refusal.
type ErrorText struct {
	Message string
}

// WriteError answers with an error.
func WriteError(rw http.ResponseWriter, status int, message string) {
	WriteJSON(rw, status, ErrorBody{Error: ErrorText{Message: message}})
}

// WriteNotRun refuses a request and says that it did not start.
func WriteNotRun(rw http.ResponseWriter, message string) {
	rw.Header().Set(target.HeaderNotRun, "true")
	rw.Header().Set("Retry-After", "1")
	WriteError(rw, http.StatusServiceUnavailable, message)
}
