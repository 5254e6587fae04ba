package process

import (
	"errors"
	"net"
	"sync"
)

// Listener is a TCP listener that can refuse connections for a time. To do so it closes its
// socket, and later opens a new one on the same address.
type Listener struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once

	mu        sync.Mutex
	socket    net.Listener
	openConns map[net.Conn]struct{}
}

// Listen opens a listener on addr.
func Listen(addr string) (*Listener, error) {
	socket, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	l := &Listener{
		addr: socket.Addr(), conns: make(chan net.Conn), closed: make(chan struct{}),
		socket: socket, openConns: make(map[net.Conn]struct{}),
	}
	go l.acceptLoop(socket)
	return l, nil
}

func (l *Listener) acceptLoop(socket net.Listener) {
	for {
		c, err := socket.Accept()
		if err != nil {
			return
		}
		tracked := &trackedConn{Conn: c, listener: l}
		l.mu.Lock()
		l.openConns[tracked] = struct{}{}
		l.mu.Unlock()
		select {
		case l.conns <- tracked:
		case <-l.closed:
			_ = tracked.Close()
			return
		}
	}
}

// RefuseConnections closes the socket and every open connection if enabled is true, and
// opens a new socket otherwise.
func (l *Listener) RefuseConnections(enabled bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if enabled {
		if l.socket == nil {
			return nil
		}
		err := l.socket.Close()
		l.socket = nil
		for c := range l.openConns {
			_ = c.(*trackedConn).Conn.Close()
		}
		return err
	}
	if l.socket != nil {
		return nil
	}
	socket, err := net.Listen("tcp", l.addr.String())
	if err != nil {
		return err
	}
	l.socket = socket
	go l.acceptLoop(socket)
	return nil
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the socket and makes Accept return net.ErrClosed.
func (l *Listener) Close() error {
	var err error
	l.once.Do(func() {
		close(l.closed)
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.socket != nil {
			err = l.socket.Close()
		}
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Addr returns the address. It does not change while connections are refused.
func (l *Listener) Addr() net.Addr { return l.addr }

// trackedConn is a connection that its listener tracks until it is closed.
type trackedConn struct {
	net.Conn
	listener *Listener
}

// Close closes the connection and stops tracking it.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.openConns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
