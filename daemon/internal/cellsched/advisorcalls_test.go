package cellsched

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/election"
	"rhubarbstall.example/daemon/internal/peer"
)

// servePeers serves calls of other VMs until the test ends, and returns the server's address.
func servePeers(t *testing.T, server *peer.Server) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = l.Close(); server.CloseConnections() })
	return l.Addr().String()
}

// adviceClient returns the client of a VM whose scheduler is at addr.
func adviceClient(t *testing.T, addr string) *Client {
	elector := election.New(nil, "vm", "vm", 0, nil, nil, zap.NewNop())
	elector.ObserveHolder(election.Holder{VM: "scheduler", Addr: addr, Term: 1})
	peers := peer.NewClient("vm")
	t.Cleanup(peers.Close)
	return NewClient(ClientConfig{Self: VMAddr{VM: "vm"}, LocalScheduler: new(LocalScheduler), Elector: elector, Peers: peers, Log: zap.NewNop()})
}

// Guards against results of advisor calls that are lost or recorded twice because they travel with the
// request for the next call, also to a scheduler of an earlier release, which expects them alone.
func TestResultOfAnAdvisorCallIsReportedOnce(t *testing.T) {
	for name, earlierRelease := range map[string]bool{"this release": false, "earlier release": true} {
		t.Run(name, func(t *testing.T) {
			var together, alone []int64
			server := peer.NewServer()
			peer.Handle(server, methodAdvice, func(_ context.Context, _ string, a *adviceArgs) (*adviceReply, error) {
				if earlierRelease {
					return &adviceReply{Assigned: true}, nil
				}
				if a.Result != nil {
					together = append(together, a.Result.ID)
				}
				return &adviceReply{Recorded: a.Result != nil, Assigned: true}, nil
			})
			peer.Handle(server, methodAdvised, func(_ context.Context, _ string, r *AdviceResult) (*empty, error) {
				alone = append(alone, r.ID)
				return &empty{}, nil
			})
			addr := servePeers(t, server)
			c := adviceClient(t, addr)
			for i := range 3 {
				var result *AdviceResult
				if i > 0 {
					result = &AdviceResult{ID: int64(i)}
				}
				_, ok, err := c.nextAdviceRequest(context.Background(), result)
				must.NoError(t, err)
				must.True(t, ok)
			}
			if earlierRelease {
				must.Eq(t, []int64{1, 2}, alone)
				return
			}
			must.Eq(t, []int64{1, 2}, together)
			must.SliceEmpty(t, alone)
		})
	}
}

// Guards against a VM that waits for a call of a scheduler whose VM is lost, and makes none for the next
// one for seconds: nothing arrives on the connection to a VM without power.
func TestWaitForACallEndsWhenAnotherVMBecomesTheScheduler(t *testing.T) {
	server := peer.NewServer()
	peer.Handle(server, methodAdvice, func(ctx context.Context, _ string, _ *adviceArgs) (*adviceReply, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	addr := servePeers(t, server)
	c := adviceClient(t, addr)
	time.AfterFunc(300*time.Millisecond, func() {
		c.elector.ObserveHolder(election.Holder{VM: "next", Addr: "127.0.0.1:1", Term: 2})
	})
	begin := time.Now()
	_, _, err := c.nextAdviceRequest(context.Background(), nil)
	must.Error(t, err)
	must.Less(t, adviceRequestWait/2, time.Since(begin))
}
