package cellsched

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/standin/memnet"
)

// Guards against a scheduler that is short of processor time and spends it on calls that other VMs can do
// without, and against one that refuses cancels, advice or operators.
func TestOverloadedSchedulerRefusesWhatVMsCanDoWithout(t *testing.T) {
	network := memnet.New()
	server := peer.NewServer()
	local := new(LocalScheduler)
	c := NewClient(ClientConfig{Self: VMAddr{VM: "vm"}, LocalScheduler: local})
	Register(server, c)
	addr := servePeers(t, server)
	fixture := newStoreFixture(t)
	defer fixture.close()
	s, end := fixture.newScheduler(alwaysValid)
	defer end()
	s.runners = platform.NewRunners(network.Dialer("vm"))
	local.setCurrent(s)
	peers := peer.NewClient("other")
	t.Cleanup(peers.Close)
	call := func(method string) error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := peer.Call[idArgs, empty](ctx, peers, addr, method, &idArgs{"0000000000000001"})
		return err
	}
	must.NoError(t, call(methodState))
	must.NoError(t, call(methodPending))
	s.loadCounts.lastReport.Store(&loadReport{process: processUsage{runQueue: sheddingRunQueue}})
	must.NoError(t, call(methodState))
	s.loadCounts.lastReport.Store(&loadReport{process: processUsage{runQueue: 2 * sheddingRunQueue}})
	for _, method := range []string{methodState, methodPending} {
		must.Eq(t, codes.TooManyRequests, codes.Of(call(method)), must.Sprint(method))
	}
	for _, method := range []string{methodCancel, methodView, methodRunners, methodRelays} {
		must.NoError(t, call(method), must.Sprint(method))
	}
}
