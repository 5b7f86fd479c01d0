package platform

import (
	"time"

	"github.com/chestnutroad/chestnutroad/internal/target"
)

// The default limits. The idle timeout is short because a service that closes a connection just as it is reused makes
// the outcome of an append unknown.
const (
	defaultDialTimeout = time.Second
	defaultTimeout     = 2 * time.Second
	defaultIdleTimeout = 2 * time.Second
	// maxAnswerSize bounds the size of an answer in bytes.
	maxAnswerSize = 32 << 20
)

type settings struct {
	limits  target.Timeouts
	timeout time.Duration
}

// Option changes a client of the log or of the host list.
type Option func(*settings)

// WithDialTimeout bounds the time to connect.
func WithDialTimeout(limit time.Duration) Option {
	return func(st *settings) { st.limits.Dial = limit }
}

// WithTimeout bounds one exchange; a waiting read may take that much longer than its wait.
func WithTimeout(limit time.Duration) Option {
	return func(st *settings) { st.timeout = limit }
}

// WithIdleTimeout sets how long a connection stays open without an exchange.
func WithIdleTimeout(limit time.Duration) Option {
	return func(st *settings) { st.limits.Idle = limit }
}

func newSettings(options []Option) settings {
	st := settings{
		limits:  target.Timeouts{Dial: defaultDialTimeout, Idle: defaultIdleTimeout},
		timeout: defaultTimeout,
	}
	for _, option := range options {
		option(&st)
	}
	return st
}
