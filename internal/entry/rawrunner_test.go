package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// rawAnswer returns the bytes with which a raw runner answers a request; number counts the requests on the connection from 0.
// The connection is closed after them unless keep is true.
type rawAnswer func(number int, req *http.Request) (text string, keep bool)

// rawRunner is a stand-in of a runner that answers with given bytes.
type rawRunner struct {
	mu      sync.Mutex
	arrived int
}

// arrivals returns the number of requests that reached the runner.
func (rr *rawRunner) arrivals() int {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	return rr.arrived
}

// rawRunner starts a raw runner and registers it for the service.
func (st *site) rawRunner(id, service string, answer rawAnswer) *rawRunner {
	st.t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(st.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		st.t.Fatal(err)
	}
	st.t.Cleanup(func() { _ = listener.Close() })
	rr := &rawRunner{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go rr.serve(conn, answer)
		}
	}()
	st.store.PutTarget(id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"dc-a","slots":8,"state":"ready","sequence":1,"born":1}`, service, listener.Addr(),
	))
	return rr
}

func (rr *rawRunner) serve(conn net.Conn, answer rawAnswer) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		rr.mu.Lock()
		rr.arrived++
		rr.mu.Unlock()
		text, keep := answer(number, req)
		if _, err := io.WriteString(conn, text); err != nil || !keep {
			return
		}
	}
}

// answerHead returns the head of an answer to the request with the id; rest holds further headers, each with its line end.
func answerHead(status, id, rest string) string {
	return "HTTP/1.1 " + status + "\r\nChestnutroad-Attempt-Id: " + id + "\r\n" + rest + "\r\n"
}

// The headers of raw answers.
const (
	notRunHeader  = "Chestnutroad-Not-Executed: 1\r\n"
	receiptLine   = "Chestnutroad-Response-Signature: 3e1b.07\r\n"
	emptyBody     = "Content-Length: 0\r\n"
	instanceLine  = "Chestnutroad-Instance-Id: "
	refusedStatus = "503 Service Unavailable"
)

// promisesNotRun reports whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
