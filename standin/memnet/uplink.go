package memnet

import (
	"context"
	"net"
	"sync"
	"time"
)

// sendBufferBytes is how much a connection accepts before its writer has to wait.
const sendBufferBytes = 64 << 10

// Uplink simulates the sending direction of a host's network link. Its connections share the
// bandwidth in the order of their writes. A write returns at once, as it does on a socket with
// room in its send buffer, so a sender notices a full link only by late answers. It is safe
// for concurrent use.
type Uplink struct {
	bytesPerSecond int
	mu             sync.Mutex
	busyUntil      time.Time
}

// NewUplink returns a link that sends up to bytesPerSecond bytes a second.
func NewUplink(bytesPerSecond int) *Uplink { return &Uplink{bytesPerSecond: bytesPerSecond} }

// Queued returns how long the link needs to send what is queued.
func (u *Uplink) Queued() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(0, time.Until(u.busyUntil))
}

// enqueue returns when the link has sent n more bytes.
func (u *Uplink) enqueue(n int) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now := time.Now(); u.busyUntil.Before(now) {
		u.busyUntil = now
	}
	u.busyUntil = u.busyUntil.Add(time.Duration(n) * time.Second / time.Duration(u.bytesPerSecond))
	return u.busyUntil
}

// Dialer returns a dial function whose connections send over the link.
func (u *Uplink) Dialer(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		inner, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &queuedConn{Conn: inner, uplink: u}
		c.changed.L = &c.mu
		go c.deliver()
		return c, nil
	}
}

// queuedConn is a connection whose writes wait in the queue of an uplink.
type queuedConn struct {
	net.Conn
	uplink  *Uplink
	mu      sync.Mutex
	changed sync.Cond
	queue   []packet
	bytes   int
	closed  bool
}

// packet holds the bytes of one write and when the link has sent them.
type packet struct {
	data   []byte
	sentAt time.Time
}

func (c *queuedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.bytes+len(b) > sendBufferBytes && c.bytes > 0 && !c.closed {
		c.changed.Wait()
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	c.queue = append(c.queue, packet{append([]byte(nil), b...), c.uplink.enqueue(len(b))})
	c.bytes += len(b)
	c.changed.Broadcast()
	return len(b), nil
}

// deliver passes the queued bytes on. After Close it still delivers what was queued, as the
// kernel does.
func (c *queuedConn) deliver() {
	for {
		c.mu.Lock()
		for len(c.queue) == 0 && !c.closed {
			c.changed.Wait()
		}
		if len(c.queue) == 0 {
			c.mu.Unlock()
			_ = c.Conn.Close()
			return
		}
		p := c.queue[0]
		c.queue = c.queue[1:]
		c.mu.Unlock()
		time.Sleep(time.Until(p.sentAt))
		// The peer may have closed the connection; then the remaining bytes are dropped.
		_, _ = c.Conn.Write(p.data)
		c.mu.Lock()
		c.bytes -= len(p.data)
		c.changed.Broadcast()
		c.mu.Unlock()
	}
}

// Close ends reads at once; the link still sends what is queued.
func (c *queuedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(time.Unix(1, 0))
}
