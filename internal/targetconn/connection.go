package targetconn

import (
	"context"
	"net/netip"
)

// Connection is an open connection to a target for one request; it must be used by Exchange or released.
type Connection struct {
	pool    *Pool
	conn    *conn
	address netip.AddrPort
	// singleUse is true when the connection is not reused.
	singleUse bool
}

// Connect returns a connection for a request, an idle one that is still usable or a new one.
func (pl *Pool) Connect(ctx context.Context, rq *Request) (*Connection, error) {
	cn, err := pl.get(ctx, rq)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	return &Connection{pool: pl, conn: cn, address: rq.Address, singleUse: rq.SingleUse}, nil
}

// Release returns a connection that was not used to the pool.
func (cn *Connection) Release() {
	if cn.singleUse {
		cn.conn.close()
		return
	}
	cn.pool.putBack(cn.address, cn.conn)
}
