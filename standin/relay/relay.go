// Package relay relays TCP connections and can cut a link in one or both
// directions. A cut holds the bytes back, as a network partition does with
// retransmission: after it has healed, they arrive late.
package relay

import (
	"net"
	"sync"
)

// Link relays connections from its listener to a target.
type Link struct {
	target   string
	listener net.Listener
	forward  *valve
	backward *valve
	wait     sync.WaitGroup

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
	link.wait.Go(link.acceptLoop)
	return link, nil
}

// Addr returns the address that the link listens on.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Cut holds back the bytes to the target (forward), from it (backward), or both.
// A direction that is false is let through.
func (l *Link) Cut(forward, backward bool) {
	l.forward.set(forward)
	l.backward.set(backward)
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
	l.wait.Wait()
}

func (l *Link) acceptLoop() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.wait.Go(func() { l.relay(c) })
	}
}

// relay connects to the target once the forward direction is open.
func (l *Link) relay(in net.Conn) {
	defer l.drop(in)
	if !l.keep(in) || !l.forward.wait() {
		return
	}
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer l.drop(out)
	if !l.keep(out) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { pump(out, in, l.forward) })
	both.Go(func() { pump(in, out, l.backward) })
	both.Wait()
}

// pump copies until the source ends; the end passes the valve as bytes do.
func pump(to, from net.Conn, v *valve) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !v.wait() {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

func (l *Link) keep(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.conns[c] = struct{}{}
	}
	return !l.closed
}

func (l *Link) drop(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	_ = c.Close()
}
