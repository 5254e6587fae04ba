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

// errConnLimit means that all connections to the runner that this entry VM may
// open are in use.
var errConnLimit = errors.New("this entry VM's share of the connections to the runner is in use")

// guardedConn counts writes and can block all further ones, to prove that no
// byte of a request was or will be sent.
type guardedConn struct {
	net.Conn
	mu sync.Mutex
	// writeCalls counts calls of Write, including failed ones, because a failed
	// write may have sent some of its bytes.
	writeCalls    int64
	writesBlocked bool
	closeOnce     sync.Once
	onClose       func()
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writeCalls++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *guardedConn) writeCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeCalls
}

// blockWritesIfUnused reports whether Write was called since writeCount returned
// writesBefore. If not, it blocks all further writes: net/http writes in another
// goroutine, which may call Write only after RoundTrip has returned.
func (c *guardedConn) blockWritesIfUnused(writesBefore int64) (used bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeCalls != writesBefore {
		return true
	}
	c.writesBlocked = true
	return false
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.closeOnce.Do(c.onClose)
	return c.Conn.Close()
}

// connPool limits the number of open connections to one runner.
type connPool struct {
	limit atomic.Int64
	open  atomic.Int64
}

func (p *connPool) full() bool { return p.open.Load() >= p.limit.Load() }

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
	return &guardedConn{Conn: conn, onClose: func() { p.open.Add(-1) }}, nil
}
