package order

import "time"

// Defaults of the settings.
const (
	DefaultAppendInterval = 25 * time.Millisecond
	DefaultAppendBudget   = 300
	DefaultAppendTimeout  = 2 * time.Second
	DefaultRepeatWindow   = 24 * time.Hour
	DefaultMaxOrderTime   = 10 * time.Minute
	DefaultRetention      = 7 * 24 * time.Hour
)

// settings are the tunable values of a Machine.
type settings struct {
	appendInterval time.Duration
	// appendBudget is the number of appends a second that all appending owners may make together.
	appendBudget int
	// appendTimeout limits the time from a claim's creation until it is read back.
	appendTimeout time.Duration
	repeatWindow  time.Duration
	// maxOrderTime is the longest deadline of an order. Claims are kept for it in addition to the repeat window, so that
	// the window also holds for an order that ran just before its deadline.
	maxOrderTime time.Duration
	// retention is how long the log keeps records.
	retention time.Duration
	disabled  safeguards
}

// safeguards that the baseline in tests switches off, to show that the tests notice.
type safeguards struct {
	// readBack lets an order run before its claim was read back.
	readBack bool
	// release keeps claims of refused orders.
	release bool
	// abandon lets a claim run although its order was refused.
	abandon bool
	// gapCheck accepts snapshots behind which records are missing.
	gapCheck bool
	// lease passes a claim without an outcome on after the lease; zero means that claims don't pass on.
	lease time.Duration
}

// Option changes a setting of a Machine.
type Option func(*settings)

// WithAppendInterval sets the shortest time between two appends of a busy owner.
func WithAppendInterval(interval time.Duration) Option {
	return func(st *settings) { st.appendInterval = interval }
}

// WithAppendBudget sets the number of appends a second that all appending owners may make together.
func WithAppendBudget(perSecond int) Option {
	return func(st *settings) { st.appendBudget = perSecond }
}

// WithAppendTimeout sets the time after which an order whose claim has not been read back is refused.
func WithAppendTimeout(timeout time.Duration) Option {
	return func(st *settings) { st.appendTimeout = timeout }
}

// WithRepeatWindow sets the time for which a repeated order gets the first outcome.
func WithRepeatWindow(window time.Duration) Option {
	return func(st *settings) { st.repeatWindow = window }
}

// WithMaxOrderTime sets the longest time that an order may take.
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

// claimTTL is how long readers remember a claim.
func (st *settings) claimTTL() time.Duration { return st.repeatWindow + st.maxOrderTime }

// appendIntervalFor is the time between two appends when that many owners append.
func (st *settings) appendIntervalFor(owners int) time.Duration {
	share := time.Duration(max(1, owners)) * time.Second / time.Duration(max(1, st.appendBudget))
	return max(st.appendInterval, share)
}
