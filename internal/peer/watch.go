package peer

import (
	"sync/atomic"
	"time"
)

// watchdog closes a connection when a stream waits for a frame for longer than the limit. Time that the receiver spends
// on a frame does not count, so that a slow reader isn't taken for a silent connection.
type watchdog struct {
	limit    time.Duration
	interval time.Duration
	timer    *time.Timer
	// start is when the stream began; armed is the time from then to the beginning of the wait. Times are taken from the
	// monotonic clock, so that a step of the wall clock breaks no stream.
	start     time.Time
	armedAt     atomic.Int64
	closeConn func()
	timedOut    atomic.Bool
}

func newWatchdog(st *settings, closeConn func()) *watchdog {
	sl := &watchdog{
		limit:     missedKeepAlives * st.keepAlive,
		interval:  st.keepAlive,
		start:     time.Now(),
		closeConn: closeConn,
	}
	if st.noKeepAlives {
		return sl
	}
	ready := make(chan struct{})
	sl.timer = time.AfterFunc(sl.limit, func() {
		<-ready
		sl.expire()
	})
	sl.timer.Stop()
	close(ready)
	return sl
}

func (sl *watchdog) arm() {
	if sl.timer != nil {
		sl.armedAt.Store(int64(time.Since(sl.start)))
		sl.timer.Reset(sl.limit)
	}
}

// expire closes the connection, unless the timer is late: then this process itself was paused, and what arrived
// meanwhile is still to be read.
func (sl *watchdog) expire() {
	if time.Since(sl.start)-time.Duration(sl.armedAt.Load()) > sl.limit+sl.interval {
		sl.arm()
		return
	}
	sl.timedOut.Store(true)
	sl.closeConn()
}

func (sl *watchdog) disarm() {
	if sl.timer != nil {
		sl.timer.Stop()
	}
}

// heartbeat sends a keep-alive frame whenever a stream has sent nothing for an interval.
type heartbeat struct {
	interval time.Duration
	start    time.Time
	lastSend     atomic.Int64
	stopped  atomic.Bool
	timer    *time.Timer
	send     func() error
}

func startHeartbeat(st *settings, send func() error) *heartbeat {
	pl := &heartbeat{interval: st.keepAlive, start: time.Now(), send: send}
	pl.recordSend()
	if st.noKeepAlives {
		return pl
	}
	ready := make(chan struct{})
	pl.timer = time.AfterFunc(pl.interval, func() {
		<-ready
		pl.tick()
	})
	close(ready)
	return pl
}

// recordSend notes that the stream carried a frame.
func (pl *heartbeat) recordSend() { pl.lastSend.Store(int64(time.Since(pl.start))) }

func (pl *heartbeat) tick() {
	if pl.stopped.Load() {
		return
	}
	idle := time.Since(pl.start) - time.Duration(pl.lastSend.Load())
	if idle >= pl.interval {
		if pl.send() != nil {
			return
		}
		pl.recordSend()
		idle = 0
	}
	pl.timer.Reset(pl.interval - idle)
}

func (pl *heartbeat) stop() {
	pl.stopped.Store(true)
	if pl.timer != nil {
		pl.timer.Stop()
	}
}
