package peer

import (
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// The defaults and limits. Sizes are in bytes; limits on connections, calls and handshakes are numbers of concurrent ones.
const (
	defaultKeepAlive      = 2 * time.Second
	missedKeepAlives      = 3
	defaultIdleTimeout    = 15 * time.Second
	defaultDialTimeout    = time.Second
	handshakeTimeout      = 2 * time.Second
	defaultStateTimeout   = 10 * time.Second
	defaultPeerLimit      = 512
	peerLimitRetryAfter   = time.Second
	defaultIdleLimit      = 16
	defaultMaxConnections = 4096
	defaultMaxBody        = 8 << 20
	defaultMaxState       = 32 << 20
	maxStateCalls         = 4
	maxHandshakes         = 256
	maxHostIDLength       = 255
	tcpKeepAliveIdle      = 4 * time.Second
	tcpKeepAliveInterval  = 2 * time.Second
	tcpKeepAliveProbes    = 3
	drpcWriteBuffer       = 1 << 10
	drpcStreamBuffer      = 4 << 10
	minClusterKeySize     = 16

	// chunkSize is the maximum number of body bytes in a frame. drpc buffers whole frames in four places, so frames that
	// fit its 4 KiB buffers keep the memory of a stream low.
	chunkSize = 4000
	// maxWholeChunk is the maximum number of bytes of a chunk that is reassembled from several frames.
	maxWholeChunk = 64 << 10
	// maxFrame is the maximum size of a frame on a stream in bytes; heads with many headers are larger than chunks.
	maxFrame = 64 << 10
)

type settings struct {
	keepAlive      time.Duration
	idleTimeout    time.Duration
	dialTimeout    time.Duration
	peerLimit      int
	maxConnections int
	maxBody        int64
	maxState       int
	metrics        *metrics.Set
	noKeepAlives   bool
	clock          HybridClock
}

// HybridClock is a hybrid logical clock whose stamps are exchanged in calls between hosts.
type HybridClock interface {
	// Stamp returns the next stamp.
	Stamp() uint64
	// Observe updates the clock with a stamp received from another host.
	Observe(stamp uint64)
}

// zeroClock is the default clock; its stamps are zero.
type zeroClock struct{}

func (zeroClock) Stamp() uint64  { return 0 }
func (zeroClock) Observe(uint64) {}

// WithHybridClock sets the clock whose stamps are sent with calls.
func WithHybridClock(clock HybridClock) Option { return func(st *settings) { st.clock = clock } }

// Option changes a default of a Server or Client.
type Option func(*settings)

// WithKeepAlive sets the time after which an idle stream sends a keep-alive frame. A stream fails when nothing is
// received for three intervals.
func WithKeepAlive(interval time.Duration) Option {
	return func(st *settings) { st.keepAlive = interval }
}

// WithIdleTimeout sets the time after which a Client closes an unused connection.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(st *settings) { st.idleTimeout = timeout }
}

// WithDialTimeout sets the time after which a Client gives up opening a connection.
func WithDialTimeout(timeout time.Duration) Option {
	return func(st *settings) { st.dialTimeout = timeout }
}

// WithPeerLimit sets the maximum number of connections, and thus of concurrent streams, from a Client to one peer.
func WithPeerLimit(count int) Option { return func(st *settings) { st.peerLimit = count } }

// WithMaxBody sets the maximum size of a request body that a Server accepts, in bytes.
func WithMaxBody(bytes int64) Option { return func(st *settings) { st.maxBody = bytes } }

// WithMetrics sets the metrics set in which the counters are registered.
func WithMetrics(set *metrics.Set) Option { return func(st *settings) { st.metrics = set } }

// WithoutKeepAlives disables keep-alive frames on both the sending and the receiving side. Tests use it as the baseline
// without detection of silent connections.
func WithoutKeepAlives() Option { return func(st *settings) { st.noKeepAlives = true } }

func newSettings(opts []Option) settings {
	st := settings{
		keepAlive:      defaultKeepAlive,
		idleTimeout:    defaultIdleTimeout,
		dialTimeout:    defaultDialTimeout,
		peerLimit:      defaultPeerLimit,
		maxConnections: defaultMaxConnections,
		maxBody:        defaultMaxBody,
		maxState:       defaultMaxState,
		clock:          zeroClock{},
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
