package logservice

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/platform"
	"github.com/chestnutroad/chestnutroad/internal/standin"
)

// Log is an append-only log in memory.
type Log struct {
	maxRecords     int
	maxAge         time.Duration
	maxRecordBytes int
	limiter        *rate.Limiter
	faults         *standin.FaultInjector
	now            func() time.Time

	mu      sync.Mutex
	streams map[chestnutroad.Stream]*stream
}

var _ chestnutroad.Log = (*Log)(nil)

var (
	errDown       = errors.New("the log is down")
	errAnswerLost = errors.New("the answer to the append was lost")
)

// New returns an empty log.
func New(options ...Option) *Log {
	lg := &Log{
		maxRecordBytes: defaultMaxRecordBytes,
		limiter:        rate.NewLimiter(defaultAppendRate, defaultBurst),
		faults:         standin.NewFaultInjector(standin.Faults{}),
		now:            time.Now,
		streams:        make(map[chestnutroad.Stream]*stream),
	}
	for _, option := range options {
		option(lg)
	}
	return lg
}

// FaultInjector returns the injector of the log's faults.
func (lg *Log) FaultInjector() *standin.FaultInjector { return lg.faults }

// Append appends a record to the stream; its errors are those of platform.Log.
func (lg *Log) Append(ctx context.Context, name chestnutroad.Stream, data []byte) (chestnutroad.Offset, error) {
	err := lg.applyFaults(ctx)
	if err != nil {
		return 0, &platform.AppendError{NotAppended: true, Cause: err}
	}
	offset, err := lg.add(name, data)
	if err != nil {
		return 0, err
	}
	if lg.faults.TakeLostAnswer() {
		return 0, &platform.AppendError{Cause: errAnswerLost}
	}
	return offset, nil
}

// Read returns records from the offset on. If there is none yet, it waits for one up to the given time.
func (lg *Log) Read(
	ctx context.Context, name chestnutroad.Stream, from chestnutroad.Offset, wait time.Duration,
) (chestnutroad.Batch, error) {
	err := lg.applyFaults(ctx)
	if err != nil {
		return chestnutroad.Batch{}, err
	}
	return lg.read(ctx, name, from, wait)
}

// applyFaults applies the delay and the outages, which standin.WithFaults applies for a log that is served over HTTP.
func (lg *Log) applyFaults(ctx context.Context) error {
	faults := lg.faults.Get()
	err := standin.Sleep(ctx, time.Duration(faults.Slow))
	if err != nil {
		return err
	}
	if faults.Down || faults.Unavailable {
		return errors.Join(platform.ErrUnavailable, errDown)
	}
	return nil
}

// add appends the record if the limits on its size and on the append rate allow it.
func (lg *Log) add(name chestnutroad.Stream, data []byte) (chestnutroad.Offset, error) {
	if len(data) > lg.maxRecordBytes {
		return 0, &platform.AppendError{NotAppended: true, Cause: platform.ErrRecordTooLarge}
	}
	if !lg.limiter.Allow() {
		return 0, &platform.AppendError{NotAppended: true, RetryAfter: time.Second, Cause: platform.ErrTooManyAppends}
	}
	lg.mu.Lock()
	defer lg.mu.Unlock()
	st := lg.stream(name)
	now := lg.now()
	offset := st.append(now, bytes.Clone(data))
	st.expire(now, lg.maxRecords, lg.maxAge)
	return offset, nil
}

// read returns a batch as soon as there is a record from the offset on, or an empty one when the wait is over.
func (lg *Log) read(
	ctx context.Context, name chestnutroad.Stream, from chestnutroad.Offset, wait time.Duration,
) (chestnutroad.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, appended := lg.snapshot(name, from)
		if len(batch.Records) > 0 || wait <= 0 {
			return batch, nil
		}
		select {
		case <-appended:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return chestnutroad.Batch{}, ctx.Err()
		}
	}
}

// snapshot returns the retained records from the offset on, and a channel that is closed at the next append.
func (lg *Log) snapshot(name chestnutroad.Stream, from chestnutroad.Offset) (chestnutroad.Batch, <-chan struct{}) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	st := lg.stream(name)
	st.expire(lg.now(), lg.maxRecords, lg.maxAge)
	return st.batch(from), st.appended
}

// stream returns the stream of the name and creates it at its first use.
func (lg *Log) stream(name chestnutroad.Stream) *stream {
	st, ok := lg.streams[name]
	if !ok {
		st = newStream()
		lg.streams[name] = st
	}
	return st
}
