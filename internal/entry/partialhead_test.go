package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// TestHeadInPartsDuringDrain guards against a drain that closes a connection as idle while the head of a request arrives on it.
func TestHeadInPartsDuringDrain(t *testing.T) {
	t.Parallel()
	request := rawHead + "Chestnutroad-Deadline-Ms: 800\r\nContent-Length: 1\r\n\r\na"
	cases := []struct {
		name string
		// kept is true when an earlier request was answered on the connection.
		kept bool
		// first is the number of bytes that are sent before the host closes its listener.
		first int
	}{
		{"new connection, one byte", false, 1},
		{"new connection, half of the head", false, len(rawHead) / 2},
		{"kept connection, one byte", true, 1},
		{"kept connection, head without the body", true, len(request) - 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1")
			rn := st.runner("i-1", "desk")
			ht := st.start("host-1", true)
			conn := dialHost(t, ht.address)
			reader := bufio.NewReader(conn)
			if tc.kept {
				if status, err := exchangeRaw(conn, reader, request); status != http.StatusOK {
					t.Fatalf("the first request got status %d, %v", status, err)
				}
			}
			ht.stop()
			ran := len(rn.Runs())
			// The host closes its listener after half of its grace of 4 s.
			time.Sleep(1700 * time.Millisecond)
			if _, err := io.WriteString(conn, request[:tc.first]); err != nil {
				t.Fatal(err)
			}
			time.Sleep(500 * time.Millisecond)
			status, err := exchangeRaw(conn, reader, request[tc.first:])
			if status != http.StatusOK || len(rn.Runs()) != ran+1 {
				t.Errorf("got status %d, %v; the target ran %d requests\n%s", status, err, len(rn.Runs())-ran, ht.log)
			}
		})
	}
}

// TestHeadAfterRequestDuringDrain guards against a drain that closes a connection on which a part of the next head came with a request.
func TestHeadAfterRequestDuringDrain(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1")
	rn := st.runner("i-1", "desk")
	ht := st.start("host-1", true)
	conn := dialHost(t, ht.address)
	reader := bufio.NewReader(conn)
	request := rawHead + "Chestnutroad-Deadline-Ms: 800\r\nContent-Length: 1\r\n\r\na"
	if status, err := exchangeRaw(conn, reader, request+request[:len(rawHead)]); status != http.StatusOK {
		t.Fatalf("the first request got status %d, %v", status, err)
	}
	ht.stop()
	// The host closes its listener after half of its grace of 4 s.
	time.Sleep(2200 * time.Millisecond)
	status, err := exchangeRaw(conn, reader, request[len(rawHead):])
	if status != http.StatusOK || len(rn.Runs()) != 2 {
		t.Errorf("got status %d, %v; the target ran %d requests, want 2\n%s", status, err, len(rn.Runs()), ht.log)
	}
}

// exchangeRaw writes the rest of a request and returns the status of the answer.
func exchangeRaw(conn net.Conn, reader *bufio.Reader, rest string) (int, error) {
	if _, err := io.WriteString(conn, rest); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// TestEndlessHeadDuringDrain guards against callers that hold up a stop beyond its grace period by a head without an end.
func TestEndlessHeadDuringDrain(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1")
	ht := st.start("host-1", true)
	conn := dialHost(t, ht.address)
	sent := writeAll(conn, fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: %s\r\nX-Noise: ", standin.HostName), "x", 50*time.Millisecond)
	started := time.Now()
	ht.stop()
	if err := <-ht.ended; err != nil {
		t.Error(err)
	}
	ht.ended <- nil
	if took := time.Since(started); took > ht.settings.Grace {
		t.Errorf("the stop took %s, longer than the grace of %s", took, ht.settings.Grace)
	}
	<-sent
}
