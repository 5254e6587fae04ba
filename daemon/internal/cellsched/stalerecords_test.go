package cellsched

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/election"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

func newIdleScheduler(t *testing.T) *Scheduler {
	term := election.Term{Number: 1, Valid: func() bool { return true }}
	s, err := New(Settings{VM: "vm", MaxLease: 6 * time.Second}, term, nil, nil, zap.NewNop())
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	s.ctx, s.stepDown = ctx, stop
	return s
}

// newReportedRunner returns the loop of a runner that has reported.
func newReportedRunner(s *Scheduler) *runnerLoop {
	info := cell.RunnerInfo{ID: "r0", Address: "r0:80", Pool: "pool", Incarnation: 1}
	now := time.Now()
	s.cell.SetRunner(now, info)
	s.cell.HandleReport(now, now, info.ID, cell.Report{Incarnation: 1})
	return newRunnerLoop(s, info)
}

// Guards against a busy VM that polls runners needlessly: if the answer to an order is processed
// after the answer to a later lease renewal, its older clock reading is not a sign of a restart.
func TestReorderedClockReadingIsNotARestart(t *testing.T) {
	s := newIdleScheduler(t)
	l := newReportedRunner(s)
	interrupted := false
	l.cancelRenewal = func() { interrupted = true }
	// The runner answered the order at 999 ms and the lease renewal at 1000 ms of its clock.
	l.setClock(time.Now(), time.Now(), platform.RunnerClock{Reading: time.Second})
	now := time.Now()
	l.detectRestart(now, platform.RunnerClock{Reading: time.Second - time.Millisecond})
	// The answer to an order that was sent 900 ms before the renewal was answered.
	l.detectRestart(now.Add(-900*time.Millisecond), platform.RunnerClock{Reading: 120 * time.Millisecond})
	_, confirmed := s.cell.Token("r0")
	must.True(t, confirmed)
	must.False(t, interrupted)
}

// Guards against ends that nobody has seen and a restarted runner drops, because the restart of a
// runner that had been up for less than a second goes unnoticed.
func TestEarlyRestartIsDetected(t *testing.T) {
	s := newIdleScheduler(t)
	l := newReportedRunner(s)
	l.setClock(time.Now(), time.Now(), platform.RunnerClock{Reading: 400 * time.Millisecond})
	l.detectRestart(time.Now(), platform.RunnerClock{Reading: 10 * time.Millisecond})
	fence, confirmed := s.cell.Token("r0")
	must.Eq(t, 1, fence)
	must.False(t, confirmed)
	request, _ := l.nextRenewal(true)
	must.Eq(t, s.term.Number+1, request.FencingToken)
	must.Eq(t, 0, request.AckedEnd)
}

// Guards against a cancelled job that starts, because a listing that was read before the job's
// records were removed adds the job again.
func TestStaleListingDoesNotRestoreRemovedJob(t *testing.T) {
	s := newIdleScheduler(t)
	const id = "0000000000000001"
	body, err := json.Marshal(map[string]any{"specification": "x", "steps": []map[string]any{
		{"count": 1, "cpu": 1000, "requested_memory_mb": 100, "estimated_ms": 900},
	}})
	must.NoError(t, err)
	value, err := EncodeJob(JobHeader{Queue: "q", Pool: "pool"}, body)
	must.NoError(t, err)
	listing := []platform.Item{{Key: JobKey(id), Value: value, Revision: 3, Created: 3}}
	s.addWork(listing)
	must.NotNil(t, s.cell.Job(id))
	must.True(t, s.cell.Cancel(time.Now(), id))
	batch, err := s.cell.TakeDirty(1)
	must.NoError(t, err)
	must.SliceLen(t, 1, batch)
	s.cell.MarkSaved(batch[0])
	// sweep removes the records and the job after the page was read and before the listing ends.
	s.forgetJobs(time.Now(), []string{id}, 7)
	s.addWork(listing)
	must.Nil(t, s.cell.Job(id))
	// A job that is submitted later with the same id is a different job.
	listing[0].Revision = 8
	s.addWork(listing)
	must.NotNil(t, s.cell.Job(id))
}
