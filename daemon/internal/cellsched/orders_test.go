package cellsched

import (
	"context"
	"net/http"
	"strings"
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

// orderTest holds a scheduler with one runner and the decided starts of a job of two tasks.
type orderTest struct {
	s      *Scheduler
	job    string
	starts []cell.StartOrder
	// startCalls and stopCalls count the calls that reached the runner; valid is the term's
	// validity.
	startCalls, stopCalls atomic.Int64
	valid                 atomic.Bool
}

// newOrderTest returns an orderTest whose runner answers each call after a delay.
func newOrderTest(t *testing.T, answerDelay time.Duration) *orderTest {
	o := new(orderTest)
	o.valid.Store(true)
	network := memnet.New()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/run-stop") {
			o.stopCalls.Add(1)
		} else {
			o.startCalls.Add(1)
		}
		time.Sleep(answerDelay)
		_, _ = w.Write([]byte(`{"clock_ms":1}`))
	})}
	listener := network.Listen("r0:80")
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })

	runners := platform.NewRunners(network.Dialer("vm"))
	t.Cleanup(runners.Close)
	term := election.Term{Number: 1, Valid: o.valid.Load}
	s, err := New(Settings{VM: "vm", MaxLease: 6 * time.Second}, term, nil, runners, zap.NewNop())
	must.NoError(t, err)
	s.ctx, s.stepDown = context.WithCancel(context.Background())
	t.Cleanup(s.stepDown)
	o.s = s

	info := cell.RunnerInfo{ID: "r0", Address: "r0:80", Pool: simPool, Capacity: model.Resources{MilliCPU: 4000, MemoryMB: 4000}, Incarnation: 1}
	s.runnerLoops[info.ID] = newRunnerLoop(s, info)
	now := time.Now()
	s.cell.SetQueues([]cell.Queue{{Name: "q", Pool: simPool, MaxAttempts: 3, SlackFactor: 2}})
	s.cell.SetRunner(now, info)
	s.cell.HandleReport(now, now, info.ID, cell.Report{Incarnation: 1})
	s.cell.SetStoredRoster(s.cell.Roster())
	job := &cell.Job{ID: "0000000000000001", Queue: "q", Pool: simPool, Spec: cell.Spec{
		Payload: "x", Steps: []cell.Step{{Count: 2, Size: model.Resources{MilliCPU: 100, MemoryMB: 10}, Estimate: time.Second}},
	}}
	must.True(t, s.cell.AddJob(now, job, nil))
	s.cell.Decide(now, now)
	dirty, err := s.cell.TakeDirty(1)
	must.NoError(t, err)
	s.cell.MarkSaved(dirty[0])
	o.job, o.starts = job.ID, s.cell.Decide(now, now).Starts
	must.Len(t, 2, o.starts)
	return o
}

// Guards against a task that starts long after the cancellation of its job was acknowledged: on a
// busy VM, a start order may be sent long after the decision, and after the cancellation.
func TestCancelledStartIsNotSent(t *testing.T) {
	o := newOrderTest(t, 0)
	o.s.sendStart(o.starts[0], startOrderBytes)
	must.Eq(t, 1, o.startCalls.Load())
	o.s.cell.Cancel(time.Now(), o.job)
	o.s.sendStart(o.starts[1], startOrderBytes)
	must.Eq(t, 1, o.startCalls.Load())
}

// Guards against a process that was paused between a decision and its orders and then acts on a
// term that has run out: another scheduler may have adopted the run that it would stop.
func TestExpiredTermSendsNoOrders(t *testing.T) {
	o := newOrderTest(t, 0)
	o.s.sendStart(o.starts[0], startOrderBytes)
	must.Eq(t, 1, o.startCalls.Load())
	o.valid.Store(false)
	o.s.sendStart(o.starts[1], startOrderBytes)
	o.s.sendStop(o.starts[0].Run, smallOrderBytes)
	must.Eq(t, 1, o.startCalls.Load())
	must.Eq(t, 0, o.stopCalls.Load())
}

// Guards against work that is stopped and run again because the answer to its start was late: the
// run that it confirms is kept.
func TestLateAnswerConfirmsTheRun(t *testing.T) {
	o := newOrderTest(t, orderTimeout+orderTimeout/2)
	o.s.sendStart(o.starts[0], startOrderBytes)
	must.Eq(t, 1, o.startCalls.Load())
	must.Eq(t, cell.Active, o.starts[0].Run.Phase)
	must.Eq(t, 1, o.s.loadCounts.startsLate.Load())
	must.Eq(t, 0, o.s.loadCounts.startsUnknown.Load())
	must.Eq(t, 1, o.s.loadCounts.startsOK.Load())
	now := time.Now()
	o.s.cell.HandleReport(now, now, "r0", cell.Report{Incarnation: 1, Running: []cell.ReportedRun{{Task: o.starts[0].Run.Task, Execution: o.starts[0].Run.Execution}}})
	must.SliceEmpty(t, o.s.cell.TakeStops())
}

// Guards against a cancelled task that works on because its stop is not repeated soon: the first order
// got no answer, and waiting for a late one would hold the next one back.
func TestUnansweredStopCanBeRepeatedSoon(t *testing.T) {
	o := newOrderTest(t, 10*orderTimeout)
	run := o.starts[0].Run
	for range 3 {
		must.True(t, o.s.orders.beginStop(run))
		begin := time.Now()
		o.s.sendStop(run, smallOrderBytes)
		must.Less(t, orderTimeout*3/2, time.Since(begin))
		o.s.orders.endStop(run)
	}
	must.Eq(t, 3, o.stopCalls.Load())
}

// Guards against a load report whose stop orders never add up: an order that is not queued, because
// an earlier one is under way, is no order.
func TestRepeatedStopIsNotCountedAsOrdered(t *testing.T) {
	o := newOrderTest(t, 0)
	run := o.starts[0].Run
	must.True(t, o.s.orders.beginStop(run))
	o.s.queueOrders(&cell.Decisions{Stops: []cell.StopOrder{{Run: run}}})
	must.Eq(t, 0, o.s.loadCounts.stopsOrdered.Load())
	must.Eq(t, 0, o.s.loadCounts.stopsInFlight.Load())
}

// Guards against a restart or an unknown outcome that shows only half a second later, because the loop waits
// until ends are stored, and the store is slow.
func TestNeededReportDoesNotWaitForStoredEnds(t *testing.T) {
	o := newOrderTest(t, 0)
	l := o.s.runnerLoops["r0"]
	l.reportNow()
	begin := time.Now()
	l.waitForStoredEnds(make(chan struct{}))
	must.Less(t, maxStoredEndsWait/2, time.Since(begin))
	l.waitForStoredEnds(make(chan struct{}))
	must.GreaterEq(t, maxStoredEndsWait, time.Since(begin))
}

// Guards against an order whose outcome stays unknown for a second, and against more work for a runner that has
// restarted meanwhile: the report that would tell waited for a run to end.
func TestRenewalAfterUnknownOutcomeDoesNotWait(t *testing.T) {
	o := newOrderTest(t, 0)
	l := o.s.runnerLoops["r0"]
	l.setClock(time.Now(), time.Now(), platform.RunnerClock{Reading: time.Minute})
	waiting, _ := l.nextRenewal(true)
	must.Positive(t, waiting.Wait)
	l.renewNow()
	waiting, _ = l.nextRenewal(true)
	must.Positive(t, waiting.Wait, must.Sprint("an answer that is only late"))
	l.reportNow()
	atOnce, _ := l.nextRenewal(true)
	must.Eq(t, 0, atOnce.Wait)
	waiting, _ = l.nextRenewal(true)
	must.Positive(t, waiting.Wait)
}
