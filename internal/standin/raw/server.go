package raw

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

// Server runs a script for each request. The HTTP/2 connection preface counts as a request.
type Server struct {
	listener  net.Listener
	newScript func() Script

	mu          sync.Mutex
	closed      bool
	connections map[net.Conn]struct{}
	requests    []*http.Request
}

// Start serves the script on the address.
func Start(address string, script Script) (*Server, error) {
	return StartPerConnection(address, func() Script { return script })
}

// StartPerConnection serves on the address and calls newScript for the script of each connection.
func StartPerConnection(address string, newScript func() Script) (*Server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	sv := &Server{listener: listener, newScript: newScript, connections: make(map[net.Conn]struct{})}
	go sv.accept()
	return sv, nil
}

// Address returns the IP address and port that the server listens on.
func (sv *Server) Address() string { return sv.listener.Addr().String() }

// Requests returns the requests that were read completely; their bodies are consumed.
func (sv *Server) Requests() []*http.Request {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return append([]*http.Request(nil), sv.requests...)
}

// StopListening closes the listener; open connections are still served.
func (sv *Server) StopListening() { _ = sv.listener.Close() }

// Close closes the listener and all connections.
func (sv *Server) Close() {
	sv.StopListening()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.closed = true
	for connection := range sv.connections {
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
	defer sv.closeConnection(connection)
	if !sv.register(connection) {
		return
	}
	script := sv.newScript()
	reader := bufio.NewReader(connection)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			// Frames after the HTTP/2 preface are not parsed as requests; the connection stays open until the peer closes it.
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

// register tracks the connection and reports whether the server is still open.
func (sv *Server) register(connection net.Conn) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.connections[connection] = struct{}{}
	return !sv.closed
}

// closeConnection closes the connection and stops tracking it.
func (sv *Server) closeConnection(connection net.Conn) {
	_ = connection.Close()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	delete(sv.connections, connection)
}

func (sv *Server) record(req *http.Request) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.requests = append(sv.requests, req)
}
