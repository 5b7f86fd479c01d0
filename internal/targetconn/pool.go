package targetconn

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// defaultDialTimeout leaves time for two other targets where callers want an answer within 600 ms. A connection to another
	// data centre takes 5 ms, and a lost SYN packet is only retransmitted after a second.
	defaultDialTimeout = 150 * time.Millisecond
	// tcpUserTimeout (TCP_USER_TIMEOUT) ends a connection whose peer acknowledges neither data nor keep-alive probes; the
	// probes find a silent peer within two intervals.
	tcpUserTimeout    = 1500 * time.Millisecond
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultMaxIdle limits the idle connections to one target, which accepts a limited number from all hosts together.
	defaultMaxIdle = 8
	// maxIdleTime limits the time for which an idle connection is kept, also where the target states no time.
	maxIdleTime = 5 * time.Second
	// keepAliveFraction is the part of the target's Keep-Alive timeout for which an idle connection is kept, so that no
	// request is sent just as the target closes the connection.
	keepAliveFraction = 0.7
	readBufferSize    = 4 << 10
)

// Pool opens connections to targets and keeps idle ones for reuse.
type Pool struct {
	dialer  net.Dialer
	maxIdle int
	now     func() time.Time

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn
	opened uint64
}

// Option changes a default of a Pool.
type Option func(*Pool)

// WithDialTimeout limits the time to connect.
func WithDialTimeout(limit time.Duration) Option {
	return func(pl *Pool) { pl.dialer.Timeout = limit }
}

// WithMaxIdle limits the idle connections to one target; zero keeps none.
func WithMaxIdle(count int) Option { return func(pl *Pool) { pl.maxIdle = count } }

// NewPool returns an empty pool.
func NewPool(opts ...Option) *Pool {
	pl := &Pool{
		dialer: net.Dialer{
			Timeout: defaultDialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
			Control: setUserTimeout,
		},
		maxIdle: defaultMaxIdle,
		now:     time.Now,
		idle:    map[netip.AddrPort][]*conn{},
	}
	for _, opt := range opts {
		opt(pl)
	}
	return pl
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, sockoptErr)
}

// Opened returns the number of connections opened so far.
func (pl *Pool) Opened() uint64 {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.opened
}

// get returns an idle connection that is still usable, or opens one if there is none or the request asks for a new one.
func (pl *Pool) get(ctx context.Context, rq *Request) (*conn, error) {
	for !rq.Fresh && !rq.SingleUse {
		cn := pl.pop(rq.Address)
		if cn == nil {
			break
		}
		if pl.now().Before(cn.expires) && !cn.mayRepeat(rq.ID) && cn.usable() {
			cn.reused, cn.idleTime = true, pl.now().Sub(cn.usedAt)
			return cn, nil
		}
		cn.close()
	}
	if rq.DialTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, rq.DialTimeout)
		defer cancel()
	}
	raw, err := pl.dialer.DialContext(ctx, "tcp", rq.Address.String())
	if err != nil {
		return nil, errors.Wrap(err, "connect to the target")
	}
	pl.mu.Lock()
	pl.opened++
	pl.mu.Unlock()
	return newConn(raw), nil
}

func (pl *Pool) pop(address netip.AddrPort) *conn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	conns := pl.idle[address]
	if len(conns) == 0 {
		return nil
	}
	cn := conns[len(conns)-1]
	pl.idle[address] = conns[:len(conns)-1]
	return cn
}

func (pl *Pool) put(address netip.AddrPort, cn *conn) {
	idleTime := maxIdleTime
	if cn.keepAlive > 0 {
		idleTime = min(idleTime, time.Duration(keepAliveFraction*float64(cn.keepAlive)))
	}
	cn.usedAt = pl.now()
	cn.expires = cn.usedAt.Add(idleTime)
	pl.keep(address, cn)
}

// putBack keeps a connection that carried no request since it was taken from the pool or opened. The target counts the time since
// its last answer, so that the time at which the connection expires does not change.
func (pl *Pool) putBack(address netip.AddrPort, cn *conn) {
	if cn.expires.IsZero() {
		pl.put(address, cn)
		return
	}
	pl.keep(address, cn)
}

func (pl *Pool) keep(address netip.AddrPort, cn *conn) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if len(pl.idle[address]) >= pl.maxIdle {
		cn.close()
		return
	}
	pl.idle[address] = append(pl.idle[address], cn)
}

// Sweep closes the idle connections that have expired; call it about once a second.
func (pl *Pool) Sweep() {
	now := pl.now()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for address, conns := range pl.idle {
		kept := conns[:0]
		for _, cn := range conns {
			if now.Before(cn.expires) {
				kept = append(kept, cn)
				continue
			}
			cn.close()
		}
		if len(kept) == 0 {
			delete(pl.idle, address)
			continue
		}
		pl.idle[address] = kept
	}
}

// CloseIdle closes the idle connections to an address, for example when its target has left.
func (pl *Pool) CloseIdle(address netip.AddrPort) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, cn := range pl.idle[address] {
		cn.close()
	}
	delete(pl.idle, address)
}
