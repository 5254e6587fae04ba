package cellsched

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/election"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
	"rhubarbstall.example/sched/model"
	"rhubarbstall.example/standin/memnet"
)

// Guards against a task that starts long after the cancellation of its job was acknowledged: on a
// busy VM, a start order may be sent long after the decision, and after the cancellation.
func TestCancelledStartIsNotSent(t *testing.T) {
	var orders atomic.Int64
	network := memnet.New()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		orders.Add(1)
		_, _ = w.Write([]byte(`{"clock_ms":1}`))
	})}
	listener := network.Listen("r0:80")
	go func() { _ = server.Serve(listener) }()
	defer server.Close()

	runners := platform.NewRunners(network.Dialer("vm"))
	defer runners.Close()
	term := election.Term{Number: 1, Valid: func() bool { return true }}
	s, err := New(Settings{VM: "vm", MaxLease: 6 * time.Second}, term, nil, runners, zap.NewNop())
	must.NoError(t, err)
	s.ctx, s.stepDown = context.WithCancel(context.Background())
	defer s.stepDown()

	info := cell.RunnerInfo{ID: "r0", Address: "r0:80", Pool: simPool, Capacity: model.Resources{MilliCPU: 4000, MemoryMB: 4000}, Incarnation: 1}
	s.runnerLoops[info.ID] = newRunnerLoop(s, info)
	now := time.Now()
	s.cell.SetQueues([]cell.Queue{{Name: "q", Pool: simPool, MaxAttempts: 3, SlackFactor: 2}})
	s.cell.SetRunner(now, info)
	s.cell.SetStoredRoster(s.cell.Roster())
	s.cell.HandleReport(now, now, info.ID, cell.Report{Incarnation: 1})
	job := &cell.Job{ID: "0000000000000001", Queue: "q", Pool: simPool, Spec: cell.Spec{
		Payload: "x", Steps: []cell.Step{{Count: 2, Size: model.Resources{MilliCPU: 100, MemoryMB: 10}, Estimate: time.Second}},
	}}
	must.True(t, s.cell.AddJob(now, job, nil))
	s.cell.Decide(now, now)
	dirty, err := s.cell.TakeDirty(1)
	must.NoError(t, err)
	s.cell.MarkSaved(dirty[0])
	starts := s.cell.Decide(now, now).Starts
	must.Len(t, 2, starts)

	s.sendStart(starts[0], startOrderBytes)
	must.Eq(t, 1, orders.Load())
	s.cell.Cancel(now, job.ID)
	s.sendStart(starts[1], startOrderBytes)
	must.Eq(t, 1, orders.Load())
}
