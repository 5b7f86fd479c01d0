package raw

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

// Server runs a script for each request. The preface of HTTP/2 counts as a request.
type Server struct {
	listener net.Listener
	script   func() Script

	mu       sync.Mutex
	closed   bool
	open     map[net.Conn]struct{}
	requests []*http.Request
}

// Start serves the script at the address.
func Start(address string, script Script) (*Server, error) {
	return StartPerConnection(address, func() Script { return script })
}

// StartPerConnection serves a script of its own on each connection.
func StartPerConnection(address string, script func() Script) (*Server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	sv := &Server{listener: listener, script: script, open: make(map[net.Conn]struct{})}
	go sv.accept()
	return sv, nil
}

// Address returns the IP number and port that the server listens on.
func (sv *Server) Address() string { return sv.listener.Addr().String() }

// Requests returns the requests that arrived whole, without their bodies.
func (sv *Server) Requests() []*http.Request {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return append([]*http.Request(nil), sv.requests...)
}

// StopListening refuses further connections; open ones go on.
func (sv *Server) StopListening() { _ = sv.listener.Close() }

// Close closes the listener and all connections.
func (sv *Server) Close() {
	sv.StopListening()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.closed = true
	for connection := range sv.open {
		_ = connection.Close()
	}
}

func (sv *Server) accept() {
	for {
		connection, err := sv.listener.Accept()
		if err != nil {
			return
		}
		go sv.serve(connection)
	}
}

func (sv *Server) serve(connection net.Conn) {
	defer sv.leave(connection)
	if !sv.enter(connection) {
		return
	}
	script := sv.script()
	reader := bufio.NewReader(connection)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			// What follows the preface of HTTP/2 is no request; the peer decides when the connection ends.
			_, _ = io.Copy(io.Discard, reader)
			return
		}
		_, err = io.Copy(io.Discard, req.Body)
		if err != nil {
			return
		}
		sv.record(req)
		script(connection, req)
	}
}

func (sv *Server) enter(connection net.Conn) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.open[connection] = struct{}{}
	return !sv.closed
}

func (sv *Server) leave(connection net.Conn) {
	_ = connection.Close()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	delete(sv.open, connection)
}

func (sv *Server) record(req *http.Request) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.requests = append(sv.requests, req)
}
