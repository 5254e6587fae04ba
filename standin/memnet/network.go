// Package memnet is an in-memory network for tests. Connections are pipes, so it works under
// testing/synctest. Links can be cut without either end getting an error.
package memnet

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// ErrRefused is the error of a dial to an address without a listener.
var ErrRefused = errors.New("memnet: connection refused")

// Network connects hosts with listeners by address. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[[2]string]bool
}

// New returns an empty network.
func New() *Network {
	return &Network{listeners: make(map[string]*listener), cut: make(map[[2]string]bool)}
}

// Listen returns a listener at addr. It replaces an earlier listener at the same address.
func (n *Network) Listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{net: n, addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

// Cut drops all bytes on connections from host to the listener at addr, in both directions,
// until Heal. New dials then time out. A connection on which bytes were dropped delivers
// nothing more, even after Heal.
func (n *Network) Cut(host, addr string) { n.setCut(host, addr, true) }

// Heal ends the effect of Cut for new connections and for those that lost no bytes.
func (n *Network) Heal(host, addr string) { n.setCut(host, addr, false) }

func (n *Network) setCut(host, addr string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{host, addr}] = cut
}

func (n *Network) isCut(host, addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{host, addr}]
}

// dialTimeout limits a dial, as a real host does, because HTTP transports do not cancel
// dials.
const dialTimeout = 1500 * time.Millisecond

// Dialer returns the dial function of a host.
func (n *Network) Dialer(host string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if n.isCut(host, addr) {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: "mem", Err: ctx.Err()}
		}
		n.mu.Lock()
		l := n.listeners[addr]
		n.mu.Unlock()
		if l == nil {
			return nil, &net.OpError{Op: "dial", Net: "mem", Err: ErrRefused}
		}
		local, remote := net.Pipe()
		link := &link{net: n, host: host, addr: addr}
		select {
		case l.conns <- &conn{Conn: remote, link: link}:
			return &conn{Conn: local, link: link}, nil
		case <-l.closed:
			return nil, &net.OpError{Op: "dial", Net: "mem", Err: ErrRefused}
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "mem", Err: ctx.Err()}
		}
	}
}

// link is the state that the two ends of a connection share.
type link struct {
	net        *Network
	host, addr string
	mu         sync.Mutex
	// broken is set once bytes have been dropped.
	broken bool
}

// delivers reports whether bytes written now arrive. During a cut it also marks the link as
// broken.
func (l *link) delivers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.net.isCut(l.host, l.addr) {
		l.broken = true
	}
	return !l.broken
}

type conn struct {
	net.Conn
	link *link
}

func (c *conn) Write(b []byte) (int, error) {
	if !c.link.delivers() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// LocalAddr and RemoteAddr return the dialing host at both ends. Servers identify their
// clients by RemoteAddr.
func (c *conn) LocalAddr() net.Addr  { return addr(c.link.host) }
func (c *conn) RemoteAddr() net.Addr { return addr(c.link.host) }

type addr string

func (a addr) Network() string { return "mem" }
func (a addr) String() string  { return string(a) }

type listener struct {
	net    *Network
	addr   string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[l.addr] == l {
			delete(l.net.listeners, l.addr)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.addr) }

// Latency is the simulated response time of a test server.
const Latency = 4 * time.Millisecond
