package entry

import (
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

// acceptRetryPause is the pause after a connection was not accepted, in which descriptors or memory may become free.
const acceptRetryPause = 50 * time.Millisecond

// retryListener retries after each error of Accept until it is closed. net/http does so only for some errors and ends the server,
// and with it the host, at others, such as a lack of buffers or a network error of one connection.
type retryListener struct {
	net.Listener
	logger *log.Logger
}

// Accept waits for the next connection.
func (rl *retryListener) Accept() (net.Conn, error) {
	for {
		conn, err := rl.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		rl.logger.Error("connection was not accepted", "Address", rl.Addr(), "Error", err)
		time.Sleep(acceptRetryPause)
	}
}
