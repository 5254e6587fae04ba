package netcount

import (
	"context"
	"net"
	"time"
)

// conn counts the bytes of a connection.
type conn struct {
	net.Conn
	totals *totals
}

// Wrap returns a connection whose traffic is counted for a link.
func Wrap(l Link, c net.Conn) net.Conn {
	return &conn{Conn: c, totals: &byLink[l]}
}

// Dial returns a dial function whose connections are counted for a link. timeout limits each
// connection attempt.
func Dial(l Link, timeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return WrapDial(l, (&net.Dialer{Timeout: timeout}).DialContext)
}

// WrapDial returns a dial function that counts the connections of dial for a link.
func WrapDial(l Link, dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return Wrap(l, c), nil
	}
}

// Listen returns a listener that counts the connections of inner for a link.
func Listen(l Link, inner net.Listener) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	link Link
}

// Accept implements net.Listener.
func (n *listener) Accept() (net.Conn, error) {
	c, err := n.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Wrap(n.link, c), nil
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.totals.received.Add(int64(n))
	c.totals.reads.Add(1)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.totals.sent.Add(int64(n))
	c.totals.writes.Add(1)
	return n, err
}
