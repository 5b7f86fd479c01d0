package peer

import (
	"sync/atomic"
	"time"
)

// watchdog closes a connection when a stream waits for a frame for longer than the limit. It is armed only while the
// receiver waits, not while it processes a frame, so that a slow reader isn't taken for a silent connection.
type watchdog struct {
	limit    time.Duration
	interval time.Duration
	timer    *time.Timer
	// start is when the stream began; armedAt is the time from then to the start of the current wait in nanoseconds. Both
	// use the monotonic clock, so that a step of the wall clock doesn't break streams.
	start     time.Time
	armedAt   atomic.Int64
	closeConn func()
	timedOut  atomic.Bool
}

func newWatchdog(st *settings, closeConn func()) *watchdog {
	wa := &watchdog{
		limit:     missedKeepAlives * st.keepAlive,
		interval:  st.keepAlive,
		start:     time.Now(),
		closeConn: closeConn,
	}
	if st.noKeepAlives {
		return wa
	}
	// The timer's function uses wa.timer, so it waits until the field is set.
	ready := make(chan struct{})
	wa.timer = time.AfterFunc(wa.limit, func() {
		<-ready
		wa.expire()
	})
	wa.timer.Stop()
	close(ready)
	return wa
}

// arm starts the time limit of one wait for a frame.
func (wa *watchdog) arm() {
	if wa.timer != nil {
		wa.armedAt.Store(int64(time.Since(wa.start)))
		wa.timer.Reset(wa.limit)
	}
}

// expire closes the connection. When the timer fires late by more than an interval, this process was paused: it arms the
// watchdog again instead, because frames that arrived during the pause have not been read yet.
func (wa *watchdog) expire() {
	if time.Since(wa.start)-time.Duration(wa.armedAt.Load()) > wa.limit+wa.interval {
		wa.arm()
		return
	}
	wa.timedOut.Store(true)
	wa.closeConn()
}

// disarm stops the timer when a frame was received or the stream ended.
func (wa *watchdog) disarm() {
	if wa.timer != nil {
		wa.timer.Stop()
	}
}

// heartbeat sends a keep-alive frame on a stream that has sent nothing for an interval.
type heartbeat struct {
	interval time.Duration
	// start is when the stream began; lastSend is the time from then to the last frame sent in nanoseconds.
	start    time.Time
	lastSend atomic.Int64
	stopped  atomic.Bool
	timer    *time.Timer
	send     func() error
}

func startHeartbeat(st *settings, send func() error) *heartbeat {
	hb := &heartbeat{interval: st.keepAlive, start: time.Now(), send: send}
	hb.recordSend()
	if st.noKeepAlives {
		return hb
	}
	// The timer's function uses hb.timer, so it waits until the field is set.
	ready := make(chan struct{})
	hb.timer = time.AfterFunc(hb.interval, func() {
		<-ready
		hb.tick()
	})
	close(ready)
	return hb
}

// recordSend records that the stream sent a frame, which postpones the next keep-alive frame.
func (hb *heartbeat) recordSend() { hb.lastSend.Store(int64(time.Since(hb.start))) }

// tick sends a keep-alive frame if the stream was idle for an interval, and schedules the next check.
func (hb *heartbeat) tick() {
	if hb.stopped.Load() {
		return
	}
	idle := time.Since(hb.start) - time.Duration(hb.lastSend.Load())
	if idle >= hb.interval {
		if hb.send() != nil {
			return
		}
		hb.recordSend()
		idle = 0
	}
	hb.timer.Reset(hb.interval - idle)
}

func (hb *heartbeat) stop() {
	hb.stopped.Store(true)
	if hb.timer != nil {
		hb.timer.Stop()
	}
}
