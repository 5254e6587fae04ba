// Package memnet is a network in memory for tests. Connections are pipes, so that it
// works under testing/synctest; links can be cut without the ends being told.
package memnet

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// ErrRefused means that nobody listens at an address.
var ErrRefused = errors.New("memnet: connection refused")

// Network connects hosts by address.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[[2]string]bool
}

// New returns an empty network.
func New() *Network {
	return &Network{listeners: make(map[string]*listener), cut: make(map[[2]string]bool)}
}

// Listen returns a listener at addr.
func (n *Network) Listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{net: n, addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

// Cut drops all that passes between two hosts, in both directions, until Heal.
// Connections that carried something meanwhile stay silent.
func (n *Network) Cut(host, addr string) { n.setCut(host, addr, true) }

// Heal ends a cut.
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

// dialTimeout bounds a dial, as on a real host; HTTP transports do not cancel dials.
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
		near, far := net.Pipe()
		link := &link{net: n, host: host, addr: addr}
		select {
		case l.conns <- &conn{Conn: far, link: link}:
			return &conn{Conn: near, link: link}, nil
		case <-l.closed:
			return nil, &net.OpError{Op: "dial", Net: "mem", Err: ErrRefused}
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "mem", Err: ctx.Err()}
		}
	}
}

// link is the state that both ends of a connection share.
type link struct {
	net        *Network
	host, addr string
	mu         sync.Mutex
	silent     bool
}

// passes reports whether bytes get through; after a loss none does.
func (l *link) passes() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.net.isCut(l.host, l.addr) {
		l.silent = true
	}
	return !l.silent
}

type conn struct {
	net.Conn
	link *link
}

func (c *conn) Write(b []byte) (int, error) {
	if !c.link.passes() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

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

// Latency is the time that a stand-in takes for an answer.
const Latency = 4 * time.Millisecond
