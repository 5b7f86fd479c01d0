package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// listRead is what a call that reads the list of runners has in its first line.
var listRead = []byte("topic=keyed.servers")

// proxy forwards the connections of one host to the store. It can stop forwarding, as a network partition does.
type proxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
	// readAt is when the store last answered a read of the list of runners.
	readAt time.Time
}

func newProxy(upstream string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // The close method closes the listener.
	if err != nil {
		return nil, err
	}
	px := &proxy{listener: listener, upstream: upstream, conns: map[net.Conn]bool{}}
	go px.accept()
	return px, nil
}

func (px *proxy) accept() {
	for {
		downstream, err := px.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.DialTimeout("tcp", px.upstream, time.Second) //nolint:noctx // Bounded by its own timeout.
		if err != nil {
			_ = downstream.Close()
			continue
		}
		px.mu.Lock()
		px.conns[downstream], px.conns[upstream] = true, true
		px.mu.Unlock()
		reading := &sync.Map{}
		go px.pipe(downstream, upstream, func(data []byte) {
			if bytes.Contains(data, listRead) {
				reading.Store("list", true)
			}
		})
		go px.pipe(upstream, downstream, func([]byte) {
			if _, found := reading.LoadAndDelete("list"); found {
				px.mu.Lock()
				px.readAt = time.Now()
				px.mu.Unlock()
			}
		})
	}
}

// pipe copies one direction of a connection and shows what it forwards. While the proxy is cut, it reads and forwards nothing.
func (px *proxy) pipe(from, to net.Conn, show func(data []byte)) {
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		for px.isCut() {
			time.Sleep(time.Millisecond)
		}
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				break
			}
			show(buffer[:count])
		}
		if err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
	px.mu.Lock()
	defer px.mu.Unlock()
	delete(px.conns, from)
	delete(px.conns, to)
}

func (px *proxy) isCut() bool {
	px.mu.Lock()
	defer px.mu.Unlock()
	return px.cut
}

func (px *proxy) setCut(cut bool) {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.cut = cut
}

// lastListRead returns when the store last answered a read of the list of runners.
func (px *proxy) lastListRead() time.Time {
	px.mu.Lock()
	defer px.mu.Unlock()
	return px.readAt
}

func (px *proxy) close() {
	px.setCut(false)
	_ = px.listener.Close()
	px.mu.Lock()
	defer px.mu.Unlock()
	for conn := range px.conns {
		_ = conn.Close()
	}
}
