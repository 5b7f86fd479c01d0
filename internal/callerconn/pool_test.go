package callerconn

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestClosingConnection guards against forwarding a request whose connection is being closed as idle: the target would run
// it and its answer would be lost.
func TestClosingConnection(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		state http.ConnState
		idle  time.Duration
		// received are bytes that the host has read, unread are those that wait in the socket.
		received, unread string
		closing          bool
	}{
		{"idle for a long time", http.StateIdle, time.Minute, "", "", true},
		{"opened long ago without a request", http.StateNew, time.Minute, "", "", true},
		{"idle for a short time", http.StateIdle, time.Millisecond, "", "", false},
		{"with a request", http.StateActive, time.Minute, "", "", false},
		{"idle with a part of a head", http.StateIdle, HeaderTimeout - time.Second, "P", "", false},
		{"opened long ago with a part of a head", http.StateNew, HeaderTimeout - time.Second, "P", "", false},
		{"idle with bytes that became no head in time", http.StateIdle, HeaderTimeout + time.Second, "\r\n", "", true},
		{"idle with unread bytes", http.StateIdle, time.Minute, "", "POST", false},
		{"opened long ago with unread bytes", http.StateNew, time.Minute, "", "POST", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			near, far := connPair(t)
			pl := NewPool()
			pl.connState(near, tc.state)
			if tc.received != "" {
				_, _ = far.Write([]byte(tc.received))
				if _, err := near.Read(make([]byte, len(tc.received))); err != nil {
					t.Fatal(err)
				}
			}
			_, _ = far.Write([]byte(tc.unread))
			for end := time.Now().Add(time.Second); tc.unread != "" && !near.hasUnread() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			open := pl.CloseIdle(time.Now().Add(tc.idle), time.Second)
			if _, err := near.Read(make([]byte, len(tc.unread))); err != nil {
				t.Errorf("the bytes were not read: %v", err)
			}
			// net/http reports the request only after the close.
			pl.connState(near, http.StateActive)
			if got := pl.Closing(pl.connContext(t.Context(), near)); got != tc.closing {
				t.Errorf("closing is %t, want %t", got, tc.closing)
			}
			if (open == 0) != tc.closing {
				t.Errorf("%d connections stay open", open)
			}
		})
	}
}

// TestConnectionThatCloseIdleSeesClosing guards against a drain that ends before the answer of such a connection was sent.
func TestConnectionThatCloseIdleSeesClosing(t *testing.T) {
	t.Parallel()
	near, _ := connPair(t)
	pl := NewPool()
	near.lingering = &pl.lingering
	pl.connState(near, http.StateActive)
	near.mu.Lock()
	open := make(chan int)
	go func() { open <- pl.CloseIdle(time.Now(), time.Second) }()
	for pl.mu.TryLock() {
		pl.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	// Close and the state that follows it, while CloseIdle waits.
	pl.lingering.Add(1)
	near.closed = true
	near.mu.Unlock()
	if got := <-open; got != 1 {
		t.Errorf("%d connections are open, want 1", got)
	}
	if _, err := near.tcp.Write([]byte("end of the answer")); err != nil {
		t.Errorf("the answer is cut off: %v", err)
	}
}

// connPair returns both ends of a TCP connection; near is the host's.
func connPair(t *testing.T) (near *Conn, far net.Conn) {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var dialer net.Dialer
	far, err = dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	callers, err := NewListener(listener, NewPool(), discardLog(t))
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := callers.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = accepted.Close(), far.Close() })
	return accepted.(*Conn), far
}

// TestCloseAcceptsQueuedConnections guards against a listener that is closed while connections wait in its queue, which
// resets them with the requests that they carry.
func TestCloseAcceptsQueuedConnections(t *testing.T) {
	t.Parallel()
	var config net.ListenConfig
	plain, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener, err := NewListener(plain, NewPool(), discardLog(t))
	if err != nil {
		t.Fatal(err)
	}
	const count = 5
	for range count {
		var dialer net.Dialer
		conn, err := dialer.DialContext(t.Context(), "tcp", plain.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	closed := make(chan struct{})
	go func() {
		listener.CloseWhenEmpty(time.Second)
		close(closed)
	}()
	for number := range count {
		time.Sleep(20 * time.Millisecond)
		if _, err := listener.Accept(); err != nil {
			t.Fatalf("connection %d was not accepted: %v", number, err)
		}
	}
	<-closed
}

// TestCloseWhileBytesArrive guards against a close that reads bytes and drops them, or never ends, when they arrive in that moment.
func TestCloseWhileBytesArrive(t *testing.T) {
	t.Parallel()
	const count = 2000
	served := 0
	for index := range count {
		near, far := connPair(t)
		pl := NewPool()
		pl.connState(near, http.StateIdle)
		read := make(chan int, 1)
		go func() {
			size, _ := near.Read(make([]byte, 1))
			read <- size
		}()
		closed := make(chan bool, 1)
		start := make(chan struct{})
		go func() {
			<-start
			closed <- near.closeIfIdle(time.Now().Add(HeaderTimeout/2), time.Second)
		}()
		close(start)
		// The bytes arrive at another moment of the close each time.
		for sent := time.Now(); time.Since(sent) < time.Duration(index%100)*time.Microsecond/2; {
		}
		_, _ = far.Write([]byte("P"))
		select {
		case size := <-read:
			if wasClosed := <-closed; wasClosed == (size > 0) {
				t.Fatalf("the connection was closed: %t, and %d bytes were read", wasClosed, size)
			}
			served += size
		case <-time.After(10 * time.Second):
			t.Fatal("the close did not end")
		}
		_, _ = near.Close(), far.Close()
	}
	t.Logf("%d of %d connections were served", served, count)
}
