package peer

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fuzzAnswerTime bounds how long a server may work on what it reads from one connection.
const fuzzAnswerTime = 5 * time.Second

// Guards against bytes on a connection that let a VM panic, hang or take memory without bound.
func FuzzPeerConnection(f *testing.F) {
	f.Add(encodedCall(f))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewServer()
		Handle(s, "echo", func(_ context.Context, _ string, args *[]string) (*[]string, error) { return args, nil })
		client, server := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.rpc.ServeConn(server)
		}()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		_ = client.SetWriteDeadline(time.Now().Add(fuzzAnswerTime))
		_, _ = client.Write(data) // The server may close first.
		must.NoError(t, client.Close())
		select {
		case <-done:
		case <-time.After(fuzzAnswerTime):
			t.Fatal("the server still works on the connection")
		}
	})
}

// encodedCall returns the bytes of a call.
func encodedCall(f *testing.F) []byte {
	client, server := net.Pipe()
	go func() {
		c := rpc.NewClient(client)
		c.Go(serviceName+".Call", &Request{Method: "echo", From: "vm1", Body: []byte(`["x"]`)}, new(Response), nil)
		_ = server.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	}()
	_ = server.SetReadDeadline(time.Now().Add(time.Second))
	data, _ := io.ReadAll(server)
	must.Positive(f, len(data))
	must.NoError(f, client.Close())
	return data
}
