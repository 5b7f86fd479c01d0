package peer

import (
	"sync/atomic"
	"time"
)

// silence closes a connection when a stream waits for a frame for longer than the limit. Time that the receiver spends
// on a frame does not count, so that a slow reader isn't taken for a silent connection.
type silence struct {
	limit  time.Duration
	timer  *time.Timer
	silent atomic.Bool
}

func newSilence(st *settings, closeConn func()) *silence {
	sl := &silence{limit: missedKeepAlives * st.keepAlive}
	if st.noKeepAlives {
		return sl
	}
	sl.timer = time.AfterFunc(sl.limit, func() {
		sl.silent.Store(true)
		closeConn()
	})
	sl.timer.Stop()
	return sl
}

func (sl *silence) wait() {
	if sl.timer != nil {
		sl.timer.Reset(sl.limit)
	}
}

func (sl *silence) heard() {
	if sl.timer != nil {
		sl.timer.Stop()
	}
}

// pulse sends a keep-alive frame whenever a stream has sent nothing for an interval.
type pulse struct {
	interval time.Duration
	last     atomic.Int64
	stopped  atomic.Bool
	timer    *time.Timer
	send     func() error
}

func startPulse(st *settings, send func() error) *pulse {
	pl := &pulse{interval: st.keepAlive, send: send}
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
func (pl *pulse) sent() { pl.last.Store(time.Now().UnixNano()) }

func (pl *pulse) beat() {
	if pl.stopped.Load() {
		return
	}
	idle := time.Since(time.Unix(0, pl.last.Load()))
	if idle >= pl.interval {
		if pl.send() != nil {
			return
		}
		pl.sent()
		idle = 0
	}
	pl.timer.Reset(pl.interval - idle)
}

func (pl *pulse) stop() {
	pl.stopped.Store(true)
	if pl.timer != nil {
		pl.timer.Stop()
	}
}
