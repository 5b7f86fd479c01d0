package entry

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/freshness"
)

const (
	// longPollWait is how long the store delays the answer to a read without new records. A read that arrives while a record is
	// being appended may miss it and wait to its end, and a configuration has to be in force after 2 s, also when the host that
	// reads goes away before that end. Package freshness has the rest of these 2 s.
	longPollWait = 750 * time.Millisecond
	// readMargin is the time beyond the wait after which a read times out.
	readMargin = 700 * time.Millisecond
	// targetPollInterval is the interval between two reads of the targets, each of which returns all changes since the last one.
	// A target that leaves must get no new requests from 2 s after its notice.
	targetPollInterval = 700 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed read, which doubles with each failure.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// outageMaxBackoff is the longest pause while the relay of the data centre can't reach the store either.
	outageMaxBackoff = time.Second
	// readCheckInterval is the pause between two checks whether this host has to read the store.
	readCheckInterval = 100 * time.Millisecond
)

// errLoadedFromHost ends a read of the store whose records were fetched from another host meanwhile.
var errLoadedFromHost = errors.New("the records were fetched from another host")

// follower reads one keyed stream: first the newest record of each key, then all later records.
type follower struct {
	store        chestnutroad.KeyedStore
	stream       chestnutroad.KeyedStream
	longPollWait time.Duration
	pollInterval time.Duration
	logger       *log.Logger
	// elapsed returns the time since the start of the host.
	elapsed func() time.Duration
	// shouldRead returns why this host has to read the store itself, if it does, and the longest pause after a failure.
	shouldRead func() (freshness.Reason, time.Duration)
	// reasonChanged is called when the reason to read changes.
	reasonChanged func(before, reason freshness.Reason)
	// beforeRead is called before a read of all newest records, beforeNextPage between its pages, where an error ends the read. They
	// may be nil.
	beforeRead     func()
	beforeNextPage func(ctx context.Context) error
	// loaded is closed once the host has the records of this stream, from the store or another host.
	loaded <-chan struct{}
	// eras tracks the eras of the store from all streams and from other hosts.
	eras *eraTracker
	// reset receives the newest record of each key, apply the records of a later read; next is the position after them.
	reset func(records []chestnutroad.KeyedRecord, next chestnutroad.Position)
	apply func(records []chestnutroad.KeyedRecord, next chestnutroad.Position)
	// onRead is called after each read; ok is false when the read failed or returned an earlier era. It is true when the answer
	// only shows that all records have to be read again, and when the records were fetched from another host meanwhile.
	onRead func(ok bool)
	// recordRead receives the time up to which the stream has been read, after each read whose records were applied.
	recordRead func(at time.Duration)
}

// run follows the stream until ctx ends. When answers take long, it reads sooner: an answer is as old as its way from the store when
// it arrives, and is relied on until the next one has come the same way.
func (fl *follower) run(ctx context.Context) {
	next, synced := chestnutroad.Position{}, false
	pause, wait, lastReason := time.Duration(0), fl.longPollWait, freshness.FollowsRelay
	for sleep(ctx, pause) {
		reason, maxPause := fl.shouldRead()
		if reason != lastReason {
			fl.reasonChanged(lastReason, reason)
			lastReason = reason
		}
		if reason == freshness.FollowsRelay {
			// Another host reads the changes from now on, so that the position is not current when this host reads again.
			synced = false
			pause = readCheckInterval
			continue
		}
		started := fl.elapsed()
		batch, err := fl.read(ctx, next, synced, wait)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errLoadedFromHost) {
			fl.onRead(true)
			pause = fl.pollInterval
			continue
		}
		if err == nil {
			err = fl.eras.check(next, batch.Next, synced)
		}
		// Records after the position that were deleted, or whose offsets were reused in a new era, are covered by a read of
		// the newest record of each key.
		resync := errors.Is(err, chestnutroad.ErrRecordsGone) || errors.Is(err, errNewEra)
		fl.onRead(err == nil || resync)
		if err != nil {
			fl.logFailure(next, err)
			synced = synced && !resync
			pause = min(maxPause, max(minBackoff, 2*pause))
			continue
		}
		if synced {
			fl.apply(batch.Records, batch.Next)
		} else {
			fl.reset(batch.Records, batch.Next)
		}
		if batch.Unreadable > 0 {
			fl.logger.Warn("skipped records without a valid key", "Stream", fl.stream, "Count", batch.Unreadable)
		}
		readAt, delay := started, fl.elapsed()-started
		if synced && batch.Next == next {
			// The store has answered at the end of the wait.
			waited := min(wait, delay)
			readAt, delay = readAt+waited, delay-waited
		}
		next, synced = batch.Next, true
		wait, pause = max(0, fl.longPollWait-2*delay), max(0, fl.pollInterval-2*delay)
		if batch.Incomplete {
			pause = minBackoff
			continue
		}
		fl.recordRead(readAt)
	}
}

// logFailure logs a failed read. An era that can't be parsed or that decreases is logged as an error, since it is a fault of
// the store rather than a temporary one of the connection.
func (fl *follower) logFailure(next chestnutroad.Position, err error) {
	level := log.WarnLevel
	if errors.Is(err, chestnutroad.ErrBadEra) || errors.Is(err, errEarlierEra) {
		level = log.ErrorLevel
	}
	fl.logger.Log(level, "read of the store failed", "Stream", fl.stream, "Position", next, "Error", err)
}

// read returns the records from next on, or the newest record of each key while the follower is not synced.
func (fl *follower) read(
	ctx context.Context, next chestnutroad.Position, synced bool, wait time.Duration,
) (chestnutroad.KeyedBatch, error) {
	timeout := wait + readMargin
	if !synced {
		if fl.beforeRead != nil {
			fl.beforeRead()
		}
		return fl.readNewest(ctx, timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return fl.store.Read(ctx, fl.stream, next, wait)
}

// readNewest returns the newest record of each key. It ends early when another host provides the records that this host does
// not have yet, so that the rest of a long answer does not delay the first requests on a slow link.
func (fl *follower) readNewest(ctx context.Context, timeout time.Duration) (chestnutroad.KeyedBatch, error) {
	options := chestnutroad.PageOptions{Timeout: timeout, Continue: fl.beforeNextPage}
	select {
	case <-fl.loaded:
		return fl.store.Newest(ctx, fl.stream, options)
	default:
	}
	reading, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-fl.loaded:
			cancel()
		case <-reading.Done():
		}
	}()
	batch, err := fl.store.Newest(reading, fl.stream, options)
	if err != nil && reading.Err() != nil && ctx.Err() == nil {
		return chestnutroad.KeyedBatch{}, errLoadedFromHost
	}
	return batch, err
}

// sleep waits for the pause or until ctx ends, and reports whether ctx was still open.
func sleep(ctx context.Context, pause time.Duration) bool {
	if pause <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
