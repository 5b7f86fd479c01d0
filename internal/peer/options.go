package peer

import (
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	defaultKeepAlive      = 2 * time.Second
	missedKeepAlives      = 3
	defaultIdleTimeout    = 15 * time.Second
	defaultDialTimeout    = time.Second
	handshakeTimeout      = 2 * time.Second
	defaultStateTimeout   = 10 * time.Second
	defaultPeerLimit      = 512
	peerLimitRetryAfter        = time.Second
	defaultIdleLimit      = 16
	defaultMaxConnections    = 4096
	defaultMaxBody        = 8 << 20
	defaultMaxState       = 32 << 20
	maxStateCalls         = 4
	maxHandshakes         = 256
	maxHostIDLength       = 255
	tcpKeepAliveIdle      = 4 * time.Second
	tcpKeepAliveInterval  = 2 * time.Second
	tcpKeepAliveProbes    = 3
	drpcWriteBuffer       = 1 << 10
	drpcStreamBuffer        = 4 << 10
	minClusterKeySize = 16

	// chunkSize is the most body bytes in a frame. drpc buffers whole frames at four places, so a frame that fits its
	// buffers of 4 KiB keeps the memory of a stream low.
	chunkSize = 4000
	// maxWholeChunk is the most bytes of a chunk that arrives in one piece although it takes several frames.
	maxWholeChunk = 64 << 10
	// maxFrame bounds a frame on a stream; heads with many headers are larger than chunks.
	maxFrame = 64 << 10
)

type settings struct {
	keepAlive    time.Duration
	idleTimeout  time.Duration
	dialTimeout  time.Duration
	peerLimit    int
	maxConnections  int
	maxBody      int64
	maxState     int
	metrics      *metrics.Set
	noKeepAlives bool
	clock       HybridClock
}

// HybridClock is a hybrid logical clock that goes along with calls between hosts.
type HybridClock interface {
	// Stamp returns the next stamp.
	Stamp() uint64
	// Observe takes in a stamp of another host.
	Observe(stamp uint64)
}

// zeroClock is used where no clock is set.
type zeroClock struct{}

func (zeroClock) Stamp() uint64  { return 0 }
func (zeroClock) Observe(uint64) {}

// WithHybridClock sets the clock that goes along with calls.
func WithHybridClock(stamps HybridClock) Option { return func(st *settings) { st.clock = stamps } }

// Option changes a default of a Server, Client or Peer.
type Option func(*settings)

// WithKeepAlive sets the time after which an idle stream carries a frame that shows that it lives; a stream on which
// three of them are missed is broken.
func WithKeepAlive(interval time.Duration) Option {
	return func(st *settings) { st.keepAlive = interval }
}

// WithIdleTimeout sets the time after which an unused connection is closed.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(st *settings) { st.idleTimeout = timeout }
}

// WithPeerLimit sets the most connections, and so streams, from a Client to one peer.
func WithPeerLimit(count int) Option { return func(st *settings) { st.peerLimit = count } }

// WithMaxBody sets the most bytes of a request body that a Server accepts.
func WithMaxBody(bytes int64) Option { return func(st *settings) { st.maxBody = bytes } }

// WithMetrics sets the set that counters are registered in.
func WithMetrics(set *metrics.Set) Option { return func(st *settings) { st.metrics = set } }

// WithoutKeepAlives sends no keep-alive frames and expects none; it is the baseline of a proof.
func WithoutKeepAlives() Option { return func(st *settings) { st.noKeepAlives = true } }

func newSettings(opts []Option) settings {
	st := settings{
		keepAlive:   defaultKeepAlive,
		idleTimeout: defaultIdleTimeout,
		dialTimeout: defaultDialTimeout,
		peerLimit:   defaultPeerLimit,
		maxConnections: defaultMaxConnections,
		maxBody:     defaultMaxBody,
		maxState:    defaultMaxState,
		clock:      zeroClock{},
	}
	for _, opt := range opts {
		opt(&st)
	}
	if st.metrics == nil {
		st.metrics = metrics.NewSet()
	}
	return st
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     tcpKeepAliveIdle,
		Interval: tcpKeepAliveInterval,
		Count:    tcpKeepAliveProbes,
	}
}
