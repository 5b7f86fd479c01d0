package logservice

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/chestnutroad/chestnutroad/internal/standin"
)

// The default limits.
const (
	// defaultAppendRate stands for the log's several hundred appends a second, all streams together.
	defaultAppendRate = 500
	defaultBurst      = 100
	defaultRecordSize = 1 << 20
	defaultReadCount  = 1000
	defaultReadSize   = 4 << 20
)

// Option changes a log.
type Option func(*Log)

// WithRetention keeps at most that many records of a stream, none older than the age; zero means no limit.
func WithRetention(count int, age time.Duration) Option {
	return func(lg *Log) { lg.keepCount, lg.keepAge = count, age }
}

// WithAppendRate limits the appends a second of all streams together; zero means no limit.
func WithAppendRate(perSecond float64, burst int) Option {
	return func(lg *Log) {
		lg.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		if perSecond == 0 {
			lg.limiter = rate.NewLimiter(rate.Inf, 0)
		}
	}
}

// WithRecordSize bounds the size of a record in bytes.
func WithRecordSize(limit int) Option {
	return func(lg *Log) { lg.recordSize = limit }
}

// WithFaultInjector has the log obey these faults.
func WithFaultInjector(switches *standin.FaultInjector) Option {
	return func(lg *Log) { lg.switches = switches }
}

// WithClock replaces the clock for append times and retention by age.
func WithClock(now func() time.Time) Option {
	return func(lg *Log) { lg.now = now }
}
