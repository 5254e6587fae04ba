package cellsched

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/sched/cell"
)

// Guards against a call to the scheduler for each question how many jobs are pending, against counts that
// are older than callers may see, and against a count of 0 from a scheduler that has not loaded its jobs.
func TestPendingJobsAreToldFromAFreshReadingOfTheLoad(t *testing.T) {
	c := adviceClient(t, "127.0.0.1:1")
	pending := func(load cell.Load, age time.Duration) (int, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		c.schedulerLoad.Store(&loadReading{load, time.Now().Add(-age)})
		return c.Pending(ctx, "q")
	}
	n, err := pending(cell.Load{Pending: map[string]int{"q": 7}}, time.Second)
	must.NoError(t, err)
	must.Eq(t, 7, n)
	n, err = pending(cell.Load{Pending: map[string]int{"other": 7}}, time.Second)
	must.NoError(t, err)
	must.Eq(t, 0, n)
	_, err = pending(cell.Load{Pending: map[string]int{"q": 7}}, maxPendingAge+time.Millisecond)
	must.Error(t, err)
	_, err = pending(cell.Load{}, 0)
	must.Error(t, err)
}

// Guards against a busy scheduler that gets a call for each question how many jobs are pending, once its load
// reaches the other VMs late.
func TestQuestionsForPendingJobsShareACall(t *testing.T) {
	var calls atomic.Int64
	release := make(chan struct{})
	server := peer.NewServer()
	peer.Handle(server, methodPending, func(context.Context, string, *pendingArgs) (*pendingReply, error) {
		calls.Add(1)
		<-release
		return &pendingReply{Count: 5, Ready: true}, nil
	})
	addr := servePeers(t, server)
	c := adviceClient(t, addr)
	var questions sync.WaitGroup
	for range 20 {
		questions.Go(func() {
			n, err := c.Pending(context.Background(), "q")
			must.NoError(t, err)
			must.Eq(t, 5, n)
		})
	}
	time.Sleep(200 * time.Millisecond)
	close(release)
	questions.Wait()
	must.Eq(t, 1, calls.Load())
}
