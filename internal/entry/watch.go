package entry

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// longPollWait is how long the store holds a read back that has no records yet. A read that arrives while a record is
	// being appended was seen to wait to its end without it (warta trouble-3, seed 794556303936), and a configuration
	// has to be in force after 2 s.
	longPollWait = 1200 * time.Millisecond
	// readMargin is the time beyond the wait after which a read counts as lost.
	readMargin = 700 * time.Millisecond
	// targetPollInterval is the pause between two reads of the targets, each of which takes in all changes since the last;
	// a target that leaves must get no new requests 2 s after its notice.
	targetPollInterval = 700 * time.Millisecond
	// minBackoff and longestPause bound the pause after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// outageMaxBackoff is the longest pause while no host of the data centre reaches the store.
	outageMaxBackoff = time.Second
	// readCheckInterval is the pause between two looks at whether this host has to read the store.
	readCheckInterval = 100 * time.Millisecond
)

// errLoadedFromHost ends a read of the store whose records another host holds already.
var errLoadedFromHost = errors.New("another host holds the records")

// follower reads one keyed stream: the newest record of each key first, then all that follow.
type follower struct {
	store        chestnutroad.KeyedStore
	stream       chestnutroad.KeyedStream
	longPollWait time.Duration
	pollInterval time.Duration
	logger       *log.Logger
	// shouldRead reports whether this host has to read the store itself, and how long it pauses at most after failures.
	shouldRead func() (bool, time.Duration)
	// beforeNextPage is asked between the pages of a read of all newest records.
	beforeNextPage func(ctx context.Context) error
	// eras are what the host knows of the store's eras from all streams and from other hosts.
	eras *eraTracker
	// reset takes in the newest record of each key, apply the records of a later read; next is the position after them.
	reset func(records []chestnutroad.KeyedRecord, next chestnutroad.Position)
	apply func(records []chestnutroad.KeyedRecord, next chestnutroad.Position)
	// onRead is told whether each call onRead the store.
	onRead func(ok bool)
}

// run follows the stream until ctx ends.
func (fl *follower) run(ctx context.Context) {
	next, known := chestnutroad.Position{}, false
	pause := time.Duration(0)
	for sleep(ctx, pause) {
		needed, most := fl.shouldRead()
		if !needed {
			// What another host read meanwhile is not known here, so that reading begins anew.
			known = false
			pause = readCheckInterval
			continue
		}
		batch, err := fl.read(ctx, next, known)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errLoadedFromHost) {
			fl.onRead(true)
			pause = fl.pollInterval
			continue
		}
		if err == nil {
			err = fl.eras.check(next, batch.Next, known)
		}
		// Records that the store no longer has, or has given other offsets to, are in the newest of each key.
		anew := errors.Is(err, chestnutroad.ErrRecordsGone) || errors.Is(err, errNewEra)
		fl.onRead(err == nil || anew)
		if err != nil {
			fl.logFailure(next, err)
			known = known && !anew
			pause = min(most, max(minBackoff, 2*pause))
			continue
		}
		if known {
			fl.apply(batch.Records, batch.Next)
		} else {
			fl.reset(batch.Records, batch.Next)
		}
		if batch.Unreadable > 0 {
			fl.logger.Warn("records without a key were passed over", "Stream", fl.stream, "Count", batch.Unreadable)
		}
		next, known = batch.Next, true
		pause = fl.pollInterval
	}
}

// logFailure writes a line on a read that failed. An era that can't be read or goes down is a fault of the store rather than
// a passing one of the connection.
func (fl *follower) logFailure(next chestnutroad.Position, err error) {
	level := log.WarnLevel
	if errors.Is(err, chestnutroad.ErrBadEra) || errors.Is(err, errEarlierEra) {
		level = log.ErrorLevel
	}
	fl.logger.Log(level, "read of the store failed", "Stream", fl.stream, "Position", next, "Error", err)
}

func (fl *follower) read(
	ctx context.Context, next chestnutroad.Position, known bool,
) (chestnutroad.KeyedBatch, error) {
	timeout := fl.longPollWait + readMargin
	if !known {
		return fl.store.Newest(ctx, fl.stream, chestnutroad.Pages{Timeout: timeout, GoOn: fl.beforeNextPage})
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return fl.store.Read(ctx, fl.stream, next, fl.longPollWait)
}

// sleep waits and reports whether ctx is still open.
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
