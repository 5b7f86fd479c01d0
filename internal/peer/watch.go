package peer

import (
	"sync/atomic"
	"time"
)

// silence closes a connection when a stream waits for a frame for longer than the limit. Time that the receiver spends
// on a frame does not count, so that a slow reader isn't taken for a silent connection.
type silence struct {
	limit    time.Duration
	interval time.Duration
	timer    *time.Timer
	// start is when the stream began; armed is the time from then to the beginning of the wait. Times are taken from the
	// monotonic clock, so that a step of the wall clock breaks no stream.
	start     time.Time
	armed     atomic.Int64
	closeConn func()
	silent    atomic.Bool
}

func newSilence(st *settings, closeConn func()) *silence {
	sl := &silence{
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
		sl.expired()
	})
	sl.timer.Stop()
	close(ready)
	return sl
}

func (sl *silence) wait() {
	if sl.timer != nil {
		sl.armed.Store(int64(time.Since(sl.start)))
		sl.timer.Reset(sl.limit)
	}
}

// expired closes the connection, unless the timer is late: then this process itself was paused, and what arrived
// meanwhile is still to be read.
func (sl *silence) expired() {
	if time.Since(sl.start)-time.Duration(sl.armed.Load()) > sl.limit+sl.interval {
		sl.wait()
		return
	}
	sl.silent.Store(true)
	sl.closeConn()
}

func (sl *silence) heard() {
	if sl.timer != nil {
		sl.timer.Stop()
	}
}

// heartbeat sends a keep-alive frame whenever a stream has sent nothing for an interval.
type heartbeat struct {
	interval time.Duration
	start    time.Time
	last     atomic.Int64
	stopped  atomic.Bool
	timer    *time.Timer
	send     func() error
}

func startHeartbeat(st *settings, send func() error) *heartbeat {
	pl := &heartbeat{interval: st.keepAlive, start: time.Now(), send: send}
	pl.sent()
	if st.noKeepAlives {
		return pl
	}
	ready := make(chan struct{})
	pl.timer = time.AfterFunc(pl.interval, func() {
		<-ready
		pl.beat()
	})
	close(ready)
	return pl
}

// sent notes that the stream carried a frame.
func (pl *heartbeat) sent() { pl.last.Store(int64(time.Since(pl.start))) }

func (pl *heartbeat) beat() {
	if pl.stopped.Load() {
		return
	}
	idle := time.Since(pl.start) - time.Duration(pl.last.Load())
	if idle >= pl.interval {
		if pl.send() != nil {
			return
		}
		pl.sent()
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
