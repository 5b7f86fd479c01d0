package order

import "time"

// Default values of the settings.
const (
	DefaultAppendInterval = 25 * time.Millisecond
	DefaultAppendBudget   = 300 // appends per second
	DefaultAppendTimeout  = 2 * time.Second
	DefaultRepeatWindow   = 24 * time.Hour
	DefaultMaxOrderTime   = 10 * time.Minute
	DefaultRetention      = 7 * 24 * time.Hour
)

// settings holds the tunable values of a Machine.
type settings struct {
	appendInterval time.Duration
	// appendBudget is the total number of appends per second of all owners of order shards.
	appendBudget int
	// appendTimeout is the longest time from the creation of a claim until it is read back.
	appendTimeout time.Duration
	repeatWindow  time.Duration
	// maxOrderTime is the longest time from an order's arrival to its deadline. Claims are kept for the sum of the repeat
	// window and this time, so that the full window also applies to an order that ran just before its deadline.
	maxOrderTime time.Duration
	// retention is the time for which the log keeps records.
	retention time.Duration
	disabled  safeguards
}

// safeguards lists the safeguards that tests disable to show that they detect a missing one. The comments say what a
// machine does while the safeguard is disabled.
type safeguards struct {
	// readBack runs an order before its claim is read back.
	readBack bool
	// release writes no releases, so that the claims of refused orders keep their keys.
	release bool
	// abandon runs an order whose claim is read back after the order was refused.
	abandon bool
	// gapCheck accepts gaps in the records and snapshots that are followed by a gap.
	gapCheck bool
	// lease is the time after which a claim without an outcome loses its key to another claim; zero means never.
	lease time.Duration
}

// Option changes a setting of a Machine.
type Option func(*settings)

// WithAppendInterval sets the shortest time between two appends of an owner.
func WithAppendInterval(interval time.Duration) Option {
	return func(st *settings) { st.appendInterval = interval }
}

// WithAppendBudget sets the total number of appends per second of all owners of order shards.
func WithAppendBudget(perSecond int) Option {
	return func(st *settings) { st.appendBudget = perSecond }
}

// WithAppendTimeout sets the time after which an order whose claim has not been read back is refused.
func WithAppendTimeout(timeout time.Duration) Option {
	return func(st *settings) { st.appendTimeout = timeout }
}

// WithRepeatWindow sets the time for which a repeated order is answered with the first outcome.
func WithRepeatWindow(window time.Duration) Option {
	return func(st *settings) { st.repeatWindow = window }
}

// WithMaxOrderTime sets the longest time from the arrival of an order to its deadline.
func WithMaxOrderTime(limit time.Duration) Option {
	return func(st *settings) { st.maxOrderTime = limit }
}

// WithRetention sets the time for which the log keeps records.
func WithRetention(retention time.Duration) Option {
	return func(st *settings) { st.retention = retention }
}

func newSettings(opts []Option) settings {
	st := settings{
		appendInterval: DefaultAppendInterval,
		appendBudget:   DefaultAppendBudget,
		appendTimeout:  DefaultAppendTimeout,
		repeatWindow:   DefaultRepeatWindow,
		maxOrderTime:   DefaultMaxOrderTime,
		retention:      DefaultRetention,
	}
	for _, opt := range opts {
		opt(&st)
	}
	return st
}

// claimTTL returns the log time for which readers keep a claim.
func (st *settings) claimTTL() time.Duration { return st.repeatWindow + st.maxOrderTime }

// appendIntervalFor returns the shortest time between two appends of one of the given number of owners.
func (st *settings) appendIntervalFor(owners int) time.Duration {
	budgetInterval := time.Duration(max(1, owners)) * time.Second / time.Duration(max(1, st.appendBudget))
	return max(st.appendInterval, budgetInterval)
}
