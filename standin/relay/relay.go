// Package relay relays TCP connections and can cut a link in one or both directions. Bytes
// sent during a cut are held back and arrive after the cut has ended. TCP retransmission has
// the same effect in a network partition.
package relay

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Link relays connections from its listener to a target.
type Link struct {
	target     string
	listener   net.Listener
	forward    *valve
	backward   *valve
	goroutines sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// Open listens on addr and relays to target.
func Open(addr, target string) (*Link, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	link := &Link{
		target: target, listener: l, forward: newValve(), backward: newValve(),
		conns: make(map[net.Conn]struct{}),
	}
	link.goroutines.Go(link.acceptLoop)
	return link, nil
}

// Addr returns the address that the link listens on.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Cut sets for both directions whether bytes are held back: on the way to the target
// (forward) and from it (backward). A direction that is false is restored.
func (l *Link) Cut(forward, backward bool) {
	l.forward.set(forward)
	l.backward.set(backward)
}

// Delay sets how much later bytes arrive in either direction.
func (l *Link) Delay(d time.Duration) {
	l.forward.delay(d)
	l.backward.delay(d)
}

// Reset breaks off every connection, so that both ends see a reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Without it, the ends would see a regular close.
		}
	}
	// The end of one connection closes the other, so all of them are set first.
	for c := range l.conns {
		_ = c.Close()
	}
}

// Close closes the listener and every connection.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	l.closed = true
	for c := range l.conns {
		_ = c.Close()
	}
	l.mu.Unlock()
	l.forward.close()
	l.backward.close()
	l.goroutines.Wait()
}

func (l *Link) acceptLoop() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.goroutines.Go(func() { l.relay(c) })
	}
}

// relay waits until the forward direction is not cut, connects to the target and copies bytes
// in both directions.
func (l *Link) relay(client net.Conn) {
	defer l.closeConn(client)
	if !l.track(client) || !l.forward.wait() {
		return
	}
	target, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer l.closeConn(target)
	if !l.track(target) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { copyBytes(target, client, l.forward) })
	both.Go(func() { copyBytes(client, target, l.backward) })
	both.Wait()
}

// copyBytes copies until the source ends. The valve delays the end of the stream like the
// bytes.
func copyBytes(to, from net.Conn, v *valve) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !v.wait() {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if errors.Is(err, net.ErrClosed) {
			// The link closed this end. The other one may have been opened since.
			_ = to.Close()
			return
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// track adds a connection to those that Close closes. It returns false if the link is closed.
func (l *Link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.conns[c] = struct{}{}
	}
	return !l.closed
}

func (l *Link) closeConn(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	_ = c.Close()
}
