package relay

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a cut, in one or both directions, that lets bytes through or loses them.
func TestCutDelaysBytes(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer target.Close()
	go func() {
		c, err := target.Accept()
		if err == nil {
			_, _ = io.Copy(c, c)
			_ = c.Close()
		}
	}()
	link, err := Open("127.0.0.1:0", target.Addr().String())
	must.NoError(t, err)
	defer link.Close()
	c, err := net.Dial("tcp", link.Addr())
	must.NoError(t, err)
	defer c.Close()
	r := bufio.NewReader(c)
	echo := func(wait time.Duration) (string, error) {
		must.NoError(t, c.SetReadDeadline(time.Now().Add(wait)))
		return r.ReadString('\n')
	}
	for _, cut := range []struct{ forward, backward bool }{{true, false}, {false, true}, {true, true}} {
		link.Cut(cut.forward, cut.backward)
		_, err = c.Write([]byte("hello\n"))
		must.NoError(t, err)
		_, err = echo(50 * time.Millisecond)
		must.ErrorContains(t, err, "timeout")
		link.Cut(false, false)
		line, err := echo(5 * time.Second)
		must.NoError(t, err)
		must.Eq(t, "hello\n", line)
	}
}

// Guards against a reset that leaves connections open, and against one that ends the link.
func TestResetBreaksOffConnections(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer server.Close()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	link, err := Open("127.0.0.1:0", server.Addr().String())
	must.NoError(t, err)
	defer link.Close()
	for range 2 {
		client, err := net.Dial("tcp", link.Addr())
		must.NoError(t, err)
		target := <-accepted
		// Without the byte, the link may not know the connection to the target yet.
		_, err = client.Write([]byte{1})
		must.NoError(t, err)
		_, err = target.Read(make([]byte, 1))
		must.NoError(t, err)
		link.Reset()
		for _, c := range []net.Conn{client, target} {
			must.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			_, err = c.Read(make([]byte, 1))
			must.ErrorIs(t, err, syscall.ECONNRESET)
			must.NoError(t, c.Close())
		}
	}
}
