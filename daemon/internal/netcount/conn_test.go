package netcount

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against control traffic that is not counted, or is counted for another link.
func TestCountsBothDirectionsOfTheLink(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.CopyN(c, c, 5)
	}()
	sentBefore, receivedBefore := Bytes(Platform)
	otherBefore, _ := Bytes(Worker)
	c, err := Dial(Platform, time.Second)(t.Context(), "tcp", l.Addr().String())
	must.NoError(t, err)
	_, err = c.Write([]byte("hello"))
	must.NoError(t, err)
	got, err := io.ReadAll(c)
	must.NoError(t, err)
	must.Eq(t, "hello", string(got))
	sent, received := Bytes(Platform)
	other, _ := Bytes(Worker)
	must.Eq(t, int64(5), sent-sentBefore)
	must.Eq(t, int64(5), received-receivedBefore)
	must.Eq(t, otherBefore, other)
}

// Guards against traffic of accepted connections that is missing from the totals of the VM's
// link, so that a full link looks idle.
func TestCountsAcceptedConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l := Listen(Caller, inner)
	defer l.Close()
	before := Snapshot()
	go func() {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Write([]byte("hello"))
	}()
	c, err := l.Accept()
	must.NoError(t, err)
	_, err = io.ReadAll(c)
	must.NoError(t, err)
	_, err = c.Write([]byte("ok"))
	must.NoError(t, err)
	got := Snapshot().Since(before)
	must.Eq(t, int64(5), got[Caller].Received)
	must.Eq(t, int64(2), got[Caller].Sent)
	sent, received := got.Total()
	must.Eq(t, int64(2), sent)
	must.Eq(t, int64(5), received)
}

// Guards against a load line that shows few bytes and hides the many messages that carried them.
func TestSnapshotCountsMessages(t *testing.T) {
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	before := Snapshot()
	c := Wrap(Upstream, local)
	go func() {
		_, _ = io.CopyN(io.Discard, remote, 6)
		_, _ = remote.Write([]byte("ok"))
	}()
	for range 3 {
		_, err := c.Write([]byte("ab"))
		must.NoError(t, err)
	}
	_, err := c.Read(make([]byte, 8))
	must.NoError(t, err)
	must.Eq(t, LinkTraffic{Sent: 6, Received: 2, Writes: 3, Reads: 1}, Snapshot().Since(before)[Upstream])
}
