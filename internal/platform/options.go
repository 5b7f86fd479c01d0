package platform

import (
	"time"

	"github.com/chestnutroad/chestnutroad/internal/target"
)

// The default limits. The idle timeout is short because the outcome of an append is unknown if the service closes an idle
// connection at the moment it is reused.
const (
	defaultDialTimeout = time.Second
	defaultTimeout     = 2 * time.Second
	defaultIdleTimeout = 2 * time.Second
	// maxAnswerSize is the maximum size of an answer in bytes.
	maxAnswerSize = 32 << 20
)

type settings struct {
	limits  target.Timeouts
	timeout time.Duration
}

// Option changes a default of a Log or HostList.
type Option func(*settings)

// WithDialTimeout sets the time limit for connecting.
func WithDialTimeout(limit time.Duration) Option {
	return func(st *settings) { st.limits.Dial = limit }
}

// WithTimeout sets the time limit for a request and its answer. A read that waits for records has its wait in addition.
func WithTimeout(limit time.Duration) Option {
	return func(st *settings) { st.timeout = limit }
}

// WithIdleTimeout sets the time after which an idle connection is closed.
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
