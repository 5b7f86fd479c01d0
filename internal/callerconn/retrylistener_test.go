package callerconn

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/chestnutroad/chestnutroad/internal/logging"
)

// failingListener fails to accept once with each of the errors.
type failingListener struct {
	net.Listener
	failures []error
}

func (fl *failingListener) Accept() (net.Conn, error) {
	if len(fl.failures) == 0 {
		return fl.Listener.Accept()
	}
	first := fl.failures[0]
	fl.failures = fl.failures[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", first)}
}

func discardLog(t *testing.T) *log.Logger {
	t.Helper()
	logger, err := logging.New(io.Discard, "info", logging.Fields{})
	if err != nil {
		t.Fatal(err)
	}
	return logger
}

// TestAcceptErrors guards against an error of one accept that ends a host with all its open requests.
func TestAcceptErrors(t *testing.T) {
	t.Parallel()
	for _, failure := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH,
		syscall.EPERM,
	} {
		t.Run(failure.Error(), func(t *testing.T) {
			t.Parallel()
			var config net.ListenConfig
			plain, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listener := &RetryListener{
				Listener: &failingListener{Listener: plain, failures: []error{failure, failure}}, logger: discardLog(t),
			}
			var dialer net.Dialer
			conn, err := dialer.DialContext(t.Context(), "tcp", plain.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = conn.Close() })
			accepted, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			_ = accepted.Close()
			_ = listener.Close()
			if _, err := listener.Accept(); err == nil {
				t.Error("a closed listener accepted a connection")
			}
		})
	}
}
