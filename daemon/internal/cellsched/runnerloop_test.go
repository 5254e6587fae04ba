package cellsched

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/election"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
	"rhubarbstall.example/standin/memnet"
)

// Guards against a task that starts again while its first run continues, or after the run
// completed. This happened when a busy process was delayed between recording until when runs may
// exist and computing the end of the lease, and so treated the lease as lapsed too early.
func TestDelayedLeaseRenewalDoesNotLapseEarly(t *testing.T) {
	const (
		addr         = "r0:80"
		clockReading = time.Minute
		lockHeldFor  = time.Second
	)
	network := memnet.New()
	var leaseEnd time.Duration
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var order struct {
			DeadlineMS int64 `json:"deadline_ms"`
		}
		must.NoError(t, json.NewDecoder(r.Body).Decode(&order))
		leaseEnd = time.Duration(order.DeadlineMS) * time.Millisecond
		panic(http.ErrAbortHandler)
	})}
	listener := network.Listen(addr)
	go func() { _ = server.Serve(listener) }()
	runners := platform.NewRunners(network.Dialer("vm"))
	term := election.Term{Number: 1, Valid: func() bool { return true }}
	s, err := New(Settings{VM: "vm", MaxLease: 6 * time.Second}, term, nil, runners, zap.NewNop())
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	s.ctx, s.stepDown = ctx, stop
	// All leases of earlier terms have lapsed.
	s.cell = cell.New(time.Now().Add(-time.Minute), cell.Config{Lease: s.leaseDuration})
	info := cell.RunnerInfo{ID: "r0", Address: addr, Pool: simPool}
	s.cell.SetRunner(time.Now(), info)
	s.cell.UnlistRunner("r0")
	reportedAt := time.Now().Add(-time.Minute)
	s.cell.HandleReport(reportedAt, reportedAt, "r0", cell.Report{Incarnation: 1})
	l := newRunnerLoop(s, info)
	startedAt := time.Now()
	l.setClock(startedAt, startedAt, platform.RunnerClock{Reading: clockReading})
	s.mu.Lock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.renewLease()
	}()
	time.Sleep(lockHeldFor)
	s.mu.Unlock()
	<-done
	must.Greater(t, clockReading+s.leaseDuration, leaseEnd)
	leaseEndsAt := startedAt.Add(leaseEnd - clockReading)
	must.False(t, s.cell.CanRemoveRunner(leaseEndsAt, "r0"))
	stop()
	runners.Close()
	_ = server.Close()
}
