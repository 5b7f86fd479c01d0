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
	// defaultDialTimeout leaves time for two other targets where callers want an answer within 600 ms; a connection to
	// another data centre takes 5 ms, and an opening packet that is lost is only sent again after a second.
	defaultDialTimeout = 150 * time.Millisecond
	// userTimeout ends a connection whose peer does not acknowledge bytes or probes; keep-alive probes find a silent
	// peer within two intervals.
	userTimeout       = 1500 * time.Millisecond
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultMaxIdle bounds the kept connections to one target, which all hosts together may open only so many to.
	defaultMaxIdle = 8
	// longestIdle bounds the time for which a connection is kept where the target states no time.
	longestIdle = 5 * time.Second
	// idleShare is the part of the target's stated time for which a connection is kept, so that a request does not
	// cross the target's close.
	idleShare  = 0.7
	readBuffer = 4 << 10
)

// Pool keeps connections to targets.
type Pool struct {
	dialer  net.Dialer
	maxIdle int
	now     func() time.Time

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
	// Opened counts the connections that were opened.
	opened uint64
}

// Option changes a default of a Pool.
type Option func(*Pool)

// WithDialTimeout bounds the time to connect.
func WithDialTimeout(limit time.Duration) Option {
	return func(pl *Pool) { pl.dialer.Timeout = limit }
}

// WithMaxIdle bounds the kept connections to one target; zero keeps none.
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
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, set)
}

// Opened returns the number of connections that were opened.
func (pl *Pool) Opened() uint64 {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.opened
}

// take returns a kept connection that is still sound, or opens one.
func (pl *Pool) take(ctx context.Context, rq *Request) (*conn, error) {
	for !rq.Fresh && !rq.SingleUse {
		cn := pl.pop(rq.Address)
		if cn == nil {
			break
		}
		if pl.now().Before(cn.expires) && cn.quiet() {
			cn.reused = true
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
	keep := longestIdle
	if cn.keepAlive > 0 {
		keep = min(keep, time.Duration(idleShare*float64(cn.keepAlive)))
	}
	cn.expires = pl.now().Add(keep)
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if len(pl.idle[address]) >= pl.maxIdle {
		cn.close()
		return
	}
	pl.idle[address] = append(pl.idle[address], cn)
}

// Sweep closes the kept connections whose time is over; it is due about once a second.
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

// CloseIdle closes the kept connections to an address, as when its target left.
func (pl *Pool) CloseIdle(address netip.AddrPort) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, cn := range pl.idle[address] {
		cn.close()
	}
	delete(pl.idle, address)
}
