package config

import "time"

// Defaults of the settings.
const (
	DefaultRetention      = 7 * 24 * time.Hour
	DefaultPublishTimeout = 10 * time.Second
	DefaultHistory        = 16
)

// options are the tunable values of a Reader.
type options struct {
	// retention is how long the log keeps records.
	retention time.Duration
	// publishTimeout limits the wait for a verdict on a published configuration.
	publishTimeout time.Duration
	// history is the number of accepted configurations that a reader remembers.
	history int
	disabled     disabledRules
}

// disabledRules that the baseline in tests switches off, to show that the tests notice.
type disabledRules struct {
	// noGaps accepts snapshots behind which records are missing.
	noGaps bool
	// monotonicVersion puts the version of the latest base in force even if a higher one was seen.
	monotonicVersion bool
	// parentMatch accepts a configuration whatever its parentMatch is.
	parentMatch bool
}

// Option changes a setting of a Reader.
type Option func(*options)

// WithRetention sets the time for which the log keeps records.
func WithRetention(retention time.Duration) Option {
	return func(st *options) { st.retention = retention }
}

// WithPublishTimeout sets the time after which a publish without a verdict ends as unknown.
func WithPublishTimeout(timeout time.Duration) Option {
	return func(st *options) { st.publishTimeout = timeout }
}

// WithHistory sets the number of accepted configurations that a reader remembers.
func WithHistory(count int) Option {
	return func(st *options) { st.history = count }
}

func newOptions(opts []Option) options {
	st := options{retention: DefaultRetention, publishTimeout: DefaultPublishTimeout, history: DefaultHistory}
	for _, opt := range opts {
		opt(&st)
	}
	return st
}
