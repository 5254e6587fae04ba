package cellsched

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/election"
	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/daemon/internal/wait"
	"rhubarbstall.example/sched/cell"
)

// delayedProxy returns the address of a proxy to an address that delays the data in both
// directions.
func delayedProxy(t *testing.T, to string, delay time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	type chunk struct {
		at   time.Time
		data []byte
	}
	pump := func(from, to net.Conn) {
		chunks := make(chan chunk, 1024)
		go func() {
			defer func() { _ = to.Close() }()
			for c := range chunks {
				time.Sleep(time.Until(c.at))
				if _, err := to.Write(c.data); err != nil {
					return
				}
			}
		}()
		defer close(chunks)
		for {
			b := make([]byte, 4096)
			n, err := from.Read(b)
			if err != nil {
				return
			}
			chunks <- chunk{time.Now().Add(delay), b[:n]}
		}
	}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			go pump(in, out)
			go pump(out, in)
		}
	}()
	return l.Addr().String()
}

// Guards against calls to the advisor that are assigned to a VM that no longer waits for them.
// This happens if the scheduler's VM stops waiting later than the calling VM, because the
// oldest waiter is woken first.
func TestAdvisorCallsAreAssignedOnlyToWaitingVMs(t *testing.T) {
	const (
		vms   = 43
		calls = 60
		delay = 10 * time.Millisecond
	)
	queue := newAdviceQueue(1)
	server := peer.NewServer()
	peer.Handle(server, methodAdvice, func(ctx context.Context, _ string, a *adviceArgs) (*adviceReply, error) {
		id, call, ok := queue.waitForCall(ctx, a.VM)
		return &adviceReply{Request: AdviceRequest{ID: id, Step: call.Group}, Assigned: ok}, nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = server.Serve(l) }()
	defer l.Close()
	addr := delayedProxy(t, l.Addr().String(), delay)
	ctx, stop := context.WithCancel(context.Background())
	var received, failed atomic.Int64
	var loops sync.WaitGroup
	for i := range vms {
		name := fmt.Sprintf("vm%d", i)
		elector := election.New(nil, name, name, 0, nil, nil, zap.NewNop())
		elector.ObserveHolder(election.Holder{VM: "scheduler", Addr: addr, Term: 1})
		c := NewClient(ClientConfig{Self: VMAddr{VM: name}, LocalScheduler: new(LocalScheduler), Elector: elector, Peers: peer.NewClient(name), Log: zap.NewNop()})
		loops.Go(func() {
			time.Sleep(time.Duration(i) * 27 * time.Millisecond)
			for ctx.Err() == nil {
				request, ok, err := c.nextAdviceRequest(ctx, nil)
				switch {
				case err != nil:
					failed.Add(1)
					wait.For(ctx, schedulerRetryDelay)
				case ok:
					received.Add(1)
					queue.complete(request.ID)
				}
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	for i := range calls {
		queue.add(cell.AdviceCall{Group: fmt.Sprint(i), ExpectedDuration: 20 * time.Millisecond})
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	t.Logf("of %d calls to the advisor, %d reached a VM; %d requests for a call failed", calls, received.Load(), failed.Load())
	must.Eq(t, calls, received.Load())
	stop()
	loops.Wait()
}
