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

// Log keeps streams in memory.
type Log struct {
	keepCount  int
	keepAge    time.Duration
	recordSize int
	limiter    *rate.Limiter
	switches   *standin.FaultInjector
	now        func() time.Time

	mu      sync.Mutex
	streams map[chestnutroad.Stream]*stream
}

var _ chestnutroad.Log = (*Log)(nil)

var (
	errDown       = errors.New("the log is down")
	errAnswerLost = errors.New("the answer was lost")
)

// New returns an empty log.
func New(options ...Option) *Log {
	lg := &Log{
		recordSize: defaultRecordSize,
		limiter:    rate.NewLimiter(defaultAppendRate, defaultBurst),
		switches:   standin.NewFaultInjector(standin.Faults{}),
		now:        time.Now,
		streams:    make(map[chestnutroad.Stream]*stream),
	}
	for _, option := range options {
		option(lg)
	}
	return lg
}

// FaultInjector returns the log's faults.
func (lg *Log) FaultInjector() *standin.FaultInjector { return lg.switches }

// Append adds one record; its errors are those of platform.Log.
func (lg *Log) Append(ctx context.Context, name chestnutroad.Stream, data []byte) (chestnutroad.Offset, error) {
	err := lg.await(ctx)
	if err != nil {
		return 0, &platform.AppendError{NotAppended: true, Cause: err}
	}
	offset, err := lg.add(name, data)
	if err != nil {
		return 0, err
	}
	if lg.switches.TakeLostAnswer() {
		return 0, &platform.AppendError{Cause: errAnswerLost}
	}
	return offset, nil
}

// Read returns records from the offset on, waiting up to wait when there is none yet.
func (lg *Log) Read(
	ctx context.Context, name chestnutroad.Stream, from chestnutroad.Offset, wait time.Duration,
) (chestnutroad.Batch, error) {
	err := lg.await(ctx)
	if err != nil {
		return chestnutroad.Batch{}, err
	}
	return lg.read(ctx, name, from, wait)
}

// await applies the faults of an in-memory log, which has no connections.
func (lg *Log) await(ctx context.Context) error {
	faults := lg.switches.Get()
	err := standin.Sleep(ctx, time.Duration(faults.Slow))
	if err != nil {
		return err
	}
	if faults.Down || faults.Unavailable {
		return errors.Join(platform.ErrUnavailable, errDown)
	}
	return nil
}

func (lg *Log) add(name chestnutroad.Stream, data []byte) (chestnutroad.Offset, error) {
	if len(data) > lg.recordSize {
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
	st.expire(now, lg.keepCount, lg.keepAge)
	return offset, nil
}

func (lg *Log) read(
	ctx context.Context, name chestnutroad.Stream, from chestnutroad.Offset, wait time.Duration,
) (chestnutroad.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, grown := lg.snapshot(name, from)
		if len(batch.Records) > 0 || wait <= 0 {
			return batch, nil
		}
		select {
		case <-grown:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return chestnutroad.Batch{}, ctx.Err()
		}
	}
}

func (lg *Log) snapshot(name chestnutroad.Stream, from chestnutroad.Offset) (chestnutroad.Batch, <-chan struct{}) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	st := lg.stream(name)
	st.expire(lg.now(), lg.keepCount, lg.keepAge)
	return st.batch(from), st.grown
}

func (lg *Log) stream(name chestnutroad.Stream) *stream {
	st, known := lg.streams[name]
	if !known {
		st = newStream()
		lg.streams[name] = st
	}
	return st
}
