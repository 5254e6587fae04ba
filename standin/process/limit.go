package process

import (
	"net"
	"sync"
	"sync/atomic"
)

// LimitConnections returns a listener that closes each connection above limit
// at once and calls overrun for it.
func LimitConnections(l net.Listener, limit int64, overrun func()) net.Listener {
	return &limited{Listener: l, limit: limit, overrun: overrun}
}

type limited struct {
	net.Listener
	limit   int64
	open    atomic.Int64
	overrun func()
}

// Accept returns the next connection below the limit.
func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &counted{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.overrun()
		_ = c.Close()
	}
}

type counted struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close closes the connection and counts it once.
func (c *counted) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
