package config

import "time"

// Defaults of the options.
const (
	DefaultRetention      = 7 * 24 * time.Hour
	DefaultPublishTimeout = 10 * time.Second
	DefaultHistory        = 16
)

// options holds the parameters of a Reader.
type options struct {
	// retention is how long the log retains records.
	retention time.Duration
	// publishTimeout is how long a publish waits for a verdict.
	publishTimeout time.Duration
	// history is the number of accepted configurations that a reader retains.
	history  int
	disabled disabledRules
}

// disabledRules holds the rules that tests disable to show that the simulation detects when one is missing.
type disabledRules struct {
	// noGaps ignores snapshots that are followed by a gap in the records, and rebuilds the state after a gap.
	noGaps bool
	// monotonicVersion keeps the version in force when the state is rebuilt from an older snapshot.
	monotonicVersion bool
	// parentMatch accepts a configuration only if its parent is the version in force.
	parentMatch bool
}

// Option sets a parameter of a Reader.
type Option func(*options)

// WithRetention sets how long the log retains records (default 7 days).
func WithRetention(retention time.Duration) Option {
	return func(op *options) { op.retention = retention }
}

// WithPublishTimeout sets the time after which a publish without a verdict becomes unknown (default 10 s).
func WithPublishTimeout(timeout time.Duration) Option {
	return func(op *options) { op.publishTimeout = timeout }
}

// WithHistory sets the number of accepted configurations that a reader retains (default 16).
func WithHistory(count int) Option {
	return func(op *options) { op.history = count }
}

func newOptions(opts []Option) options {
	op := options{retention: DefaultRetention, publishTimeout: DefaultPublishTimeout, history: DefaultHistory}
	for _, opt := range opts {
		opt(&op)
	}
	return op
}
