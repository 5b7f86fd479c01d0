package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// sharedReadTimeout limits a read of the store, which may have several pages.
	sharedReadTimeout = 3 * time.Second
	// silenceTimeout is the time without an answer of the store after which it counts as not answering.
	silenceTimeout = 400 * time.Millisecond
	// failureMemory is the time after a failed read in which requests are refused without another one.
	failureMemory = 300 * time.Millisecond
)

var errStoreSilent = errors.New("the store does not answer")

// sharedRead reads the store for requests that need what it holds at the time of the request. Requests that come at once share a read.
type sharedRead struct {
	// elapsed returns the time since the start of the host.
	elapsed func() time.Duration
	// read reads all that the store holds by now, and calls progress with each answer.
	read func(ctx context.Context, progress func()) error

	mu sync.Mutex
	// current is the read that goes on, if one does.
	current *readInProgress
	// lastStarted is when the last successful read began. failure is the error of the last one, if it failed, and failedAt its time.
	lastStarted, failedAt time.Duration
	failure               error
}

// readInProgress is a read of the store; err is valid once done is closed. progressAt holds the elapsed time of the latest answer.
type readInProgress struct {
	done       chan struct{}
	err        error
	progressAt atomic.Int64
}

// await waits until a read that began after the call has succeeded, or until ctx ends. The read goes on after that, so that later requests
// don't begin it anew.
func (sr *sharedRead) await(ctx context.Context) error {
	called := sr.elapsed()
	for {
		reading, err := sr.join(called)
		if reading == nil {
			return err
		}
		select {
		case <-reading.done:
			if reading.err != nil {
				return reading.err
			}
		case <-time.After(silenceTimeout):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// join returns the read that goes on, or begins one. It returns none if the last one began after the call, and an error if it failed a
// moment before or if the store has not answered for some time: requests should not all wait for the same failure.
func (sr *sharedRead) join(called time.Duration) (*readInProgress, error) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	now := sr.elapsed()
	switch {
	case sr.lastStarted > called:
		return nil, nil
	case sr.current != nil && now-time.Duration(sr.current.progressAt.Load()) >= silenceTimeout:
		return nil, errStoreSilent
	case sr.current == nil && sr.failure != nil && now-sr.failedAt < failureMemory:
		return nil, sr.failure
	case sr.current == nil:
		sr.current = &readInProgress{done: make(chan struct{})}
		sr.current.progressAt.Store(int64(now))
		go sr.run(sr.current)
	}
	return sr.current, nil
}

func (sr *sharedRead) run(reading *readInProgress) {
	ctx, cancel := context.WithTimeout(context.Background(), sharedReadTimeout)
	defer cancel()
	started := sr.elapsed()
	reading.err = sr.read(ctx, func() { reading.progressAt.Store(int64(sr.elapsed())) })
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if reading.err == nil {
		sr.lastStarted = started
	}
	sr.current, sr.failure, sr.failedAt = nil, reading.err, sr.elapsed()
	close(reading.done)
}
