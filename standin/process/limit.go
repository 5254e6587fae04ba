package process

import (
	"net"
	"sync"
	"sync/atomic"
)

// LimitConnections returns a listener that allows limit open connections. It accepts and at
// once closes each further connection, and calls onOverrun for it.
func LimitConnections(l net.Listener, limit int64, onOverrun func()) net.Listener {
	return &limitedListener{Listener: l, limit: limit, onOverrun: onOverrun}
}

type limitedListener struct {
	net.Listener
	limit     int64
	open      atomic.Int64
	onOverrun func()
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &countedConn{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.onOverrun()
		_ = c.Close()
	}
}

type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close closes the connection. Repeated calls decrement the number of open connections once.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
