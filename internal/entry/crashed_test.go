package entry

import (
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/targetconn"
)

// TestCrashedTarget guards against a part that is suspected, and requests not sent again, because the network fails.
func TestCrashedTarget(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		err  error
		want bool
	}{
		{"end of the connection", errors.Wrap(io.EOF, "answer head"), true},
		{"reset", errors.Wrap(syscall.ECONNRESET, "answer head"), true},
		{"reused connection that ends late", errors.Mark(io.EOF, targetconn.ErrStaleConn), true},
		{"reused connection that had just been used", errors.Mark(errors.Mark(io.EOF, targetconn.ErrStaleConn), targetconn.ErrActiveConn), true},
		{"not sent", &targetconn.NotSentError{Cause: syscall.ECONNREFUSED}, false},
		{"bad answer", targetconn.ErrBadAnswer, false},
		{"no acknowledgement", errors.Wrap(syscall.ETIMEDOUT, "answer head"), false},
		{"no acknowledgement on a reused connection", errors.Mark(syscall.ETIMEDOUT, targetconn.ErrStaleConn), false},
		{"no route to the host", errors.Wrap(syscall.EHOSTUNREACH, "answer head"), false},
		{"no route to the network", errors.Wrap(syscall.ENETUNREACH, "answer head"), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			if got := crashedTarget(tc.err, time.Second); got != tc.want {
				t.Errorf("got %t, want %t", got, tc.want)
			}
		})
	}
}
