package router

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbstall.example/daemon/internal/netcount"
)

const dialTimeout = time.Second

var dialUpstream = netcount.Dial(netcount.Upstream, dialTimeout)

// errConnLimit means that this entry VM's share of the runner's connections is in use.
var errConnLimit = errors.New("share of the runner's connections is in use")

// countedConn notes whether anything was handed to the kernel for sending.
type countedConn struct {
	net.Conn
	// writes counts calls of Write, also failed ones, since a failed write may
	// have sent a part.
	writes  atomic.Int64
	closed  sync.Once
	onClose func()
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closed.Do(c.onClose)
	return c.Conn.Close()
}

// connPool bounds the open connections to one runner.
type connPool struct {
	limit atomic.Int64
	open  atomic.Int64
}

func (p *connPool) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if p.open.Add(1) > p.limit.Load() {
		p.open.Add(-1)
		return nil, errConnLimit
	}
	conn, err := dialUpstream(ctx, network, addr)
	if err != nil {
		p.open.Add(-1)
		return nil, err
	}
	return &countedConn{Conn: conn, onClose: func() { p.open.Add(-1) }}, nil
}
