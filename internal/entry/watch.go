package entry

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// readWait is how long the store holds a read back that has no records yet. A read that arrives while a record is
	// being appended was seen to wait to its end without it (warta trouble-3, seed 794556303936), and a configuration
	// has to be in force after 2 s.
	readWait = 1200 * time.Millisecond
	// readSlack is the time beyond the wait after which a read counts as lost.
	readSlack = 700 * time.Millisecond
	// targetInterval is the pause between two reads of the targets, each of which takes in all changes since the last;
	// a target that leaves must get no new requests 2 s after its notice.
	targetInterval = 700 * time.Millisecond
	// firstPause and longestPause bound the pause after a failed call.
	firstPause   = 50 * time.Millisecond
	longestPause = 400 * time.Millisecond
	// outagePause is the longest pause while no host of the data centre reaches the store.
	outagePause = time.Second
	// neededInterval is the pause between two looks at whether this host has to read the store.
	neededInterval = 100 * time.Millisecond
)

// errHeldElsewhere ends a read of the store whose records another host holds already.
var errHeldElsewhere = errors.New("another host holds the records")

// follower reads one keyed stream: the newest record of each key first, then all that follow.
type follower struct {
	store    chestnutroad.KeyedStore
	stream   chestnutroad.KeyedStream
	wait     time.Duration
	interval time.Duration
	logger   *log.Logger
	// needed reports whether this host has to read the store itself, and how long it pauses at most after failures.
	needed func() (bool, time.Duration)
	// goOn is asked between the pages of a read of all newest records.
	goOn func(ctx context.Context) error
	// eras are what the host knows of the store's eras from all streams and from other hosts.
	eras *eras
	// reset takes in the newest record of each key, apply the records of a later read; next is the position after them.
	reset func(records []chestnutroad.KeyedRecord, next chestnutroad.Position)
	apply func(records []chestnutroad.KeyedRecord, next chestnutroad.Position)
	// reached is told whether each call reached the store.
	reached func(ok bool)
}

// run follows the stream until ctx ends.
func (fl *follower) run(ctx context.Context) {
	next, known := chestnutroad.Position{}, false
	pause := time.Duration(0)
	for sleep(ctx, pause) {
		needed, most := fl.needed()
		if !needed {
			// What another host read meanwhile is not known here, so that reading begins anew.
			known = false
			pause = neededInterval
			continue
		}
		batch, err := fl.step(ctx, next, known)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errHeldElsewhere) {
			fl.reached(true)
			pause = fl.interval
			continue
		}
		if err == nil {
			err = fl.eras.check(next, batch.Next, known)
		}
		// Records that the store no longer has, or has given other offsets to, are in the newest of each key.
		anew := errors.Is(err, chestnutroad.ErrRecordsGone) || errors.Is(err, errNewEra)
		fl.reached(err == nil || anew)
		if err != nil {
			fl.logFailure(next, err)
			known = known && !anew
			pause = min(most, max(firstPause, 2*pause))
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
		pause = fl.interval
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

func (fl *follower) step(
	ctx context.Context, next chestnutroad.Position, known bool,
) (chestnutroad.KeyedBatch, error) {
	timeout := fl.wait + readSlack
	if !known {
		return fl.store.Newest(ctx, fl.stream, chestnutroad.Pages{Timeout: timeout, GoOn: fl.goOn})
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return fl.store.Read(ctx, fl.stream, next, fl.wait)
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
