package cellsched

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/election"
	"rhubarbstall.example/daemon/internal/peer"
)

func newHelloClient(vm, addr string) *Client {
	elector := election.New(nil, vm, addr, 0, nil, func() time.Duration { return 0 }, zap.NewNop())
	return NewClient(ClientConfig{
		Self: VMAddr{VM: vm, Addr: addr}, LocalScheduler: new(LocalScheduler), Elector: elector, Peers: peer.NewClient(vm),
		StoreUnreachable: func() bool { return false }, Log: zap.NewNop(),
	})
}

// Guards against heartbeats whose bytes grow with the square of the number of VMs: the answer
// holds the list of VMs only if it has changed. The caller must know the VMs all the same, and a VM
// that joins must still be reported.
func TestHeartbeatSendsListOfVMsOnlyWhenItChanges(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	addr := listener.Addr().String()
	called := newHelloClient("vm0", addr)
	var replyBytes []int
	server := peer.NewServer()
	peer.Handle(server, methodHello, func(_ context.Context, _ string, a *helloArgs) (*helloReply, error) {
		r := called.handleHello(a)
		data, err := json.Marshal(r)
		replyBytes = append(replyBytes, len(data))
		return r, err
	})
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = listener.Close(); server.CloseConnections() }()
	join := func(i int) {
		called.directory.RecordContact(time.Now(), VMAddr{VM: fmt.Sprintf("other%d", i), Addr: fmt.Sprintf("10.0.0.%d:1", i)}, false)
	}
	for i := range 146 {
		join(i)
	}
	caller := newHelloClient("vm1", "10.0.1.1:1")
	hello := func() {
		_, err := caller.sendHello(t.Context(), VMAddr{VM: "vm0", Addr: addr}, false)
		must.NoError(t, err)
	}
	hello() // The called VM learns of the caller, which changes its list.
	hello()
	for range 5 {
		hello()
	}
	must.Greater(t, 146*20, replyBytes[0])
	must.Less(t, 300, replyBytes[len(replyBytes)-1])
	must.Len(t, 147, caller.directory.All(time.Now()))
	// A VM that the caller has forgotten is known again from the list that it has.
	must.Len(t, 0, caller.directory.All(time.Now().Add(peerTimeout+time.Second)))
	hello()
	must.Less(t, 300, replyBytes[len(replyBytes)-1])
	must.Len(t, 147, caller.directory.All(time.Now()))
	join(146)
	hello()
	must.Len(t, 148, caller.directory.All(time.Now()))
}
