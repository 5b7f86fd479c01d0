package logservice

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/chestnutroad/chestnutroad/internal/standin"
)

// The defaults of the options, and the limits on the answer to a read; sizes are in bytes.
const (
	// defaultAppendRate is in appends per second for all streams together; the platform's log accepts several hundred.
	defaultAppendRate     = 500
	defaultBurst          = 100
	defaultMaxRecordBytes = 1 << 20
	maxReadRecords        = 1000
	maxReadBytes          = 4 << 20
)

// Option configures a Log.
type Option func(*Log)

// WithRetention limits the number and the age of the records that a stream retains; zero means no limit.
func WithRetention(count int, age time.Duration) Option {
	return func(lg *Log) { lg.maxRecords, lg.maxAge = count, age }
}

// WithAppendRate limits the appends per second of all streams together; a rate of zero means no limit.
func WithAppendRate(perSecond float64, burst int) Option {
	return func(lg *Log) {
		lg.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		if perSecond == 0 {
			lg.limiter = rate.NewLimiter(rate.Inf, 0)
		}
	}
}

// WithRecordSize limits the size of a record in bytes.
func WithRecordSize(limit int) Option {
	return func(lg *Log) { lg.maxRecordBytes = limit }
}

// WithFaultInjector sets the injector whose faults the log applies.
func WithFaultInjector(injector *standin.FaultInjector) Option {
	return func(lg *Log) { lg.faults = injector }
}

// WithClock sets the clock for append times and for the retention by age; the default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(lg *Log) { lg.now = now }
}
