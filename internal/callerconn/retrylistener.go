package callerconn

import (
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

// acceptRetryPause is the pause after a connection was not accepted, in which descriptors or memory may become free.
const acceptRetryPause = 50 * time.Millisecond

// RetryListener retries after each error of Accept until it is closed. net/http does so only for some errors and ends the server,
// and with it the host, at others, such as a lack of buffers or a network error of one connection.
type RetryListener struct {
	net.Listener
	logger *log.Logger
}

// NewRetryListener returns a listener that accepts the connections of another one.
func NewRetryListener(listener net.Listener, logger *log.Logger) *RetryListener {
	return &RetryListener{Listener: listener, logger: logger}
}

// Accept waits for the next connection.
func (rl *RetryListener) Accept() (net.Conn, error) {
	for {
		conn, err := rl.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		rl.logger.Error("connection was not accepted", "Address", rl.Addr(), "Error", err)
		time.Sleep(acceptRetryPause)
	}
}
