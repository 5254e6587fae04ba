package cellsched

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/daemon/internal/relay"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

// endFirstRun sends the first start of a test, and lets its run end and the end be stored.
func (o *orderTest) endFirstRun(t *testing.T) {
	run, l := o.starts[0].Run, o.s.runnerLoops["r0"]
	l.setClock(time.Now(), time.Now(), platform.RunnerClock{Reading: time.Millisecond})
	o.s.sendStart(o.starts[0], startOrderBytes)
	now := time.Now()
	o.s.cell.HandleReport(now, now, "r0", cell.Report{Incarnation: 1, Ended: []cell.ReportedEnd{{Number: 1, Task: run.Task, Execution: run.Execution, Kind: cell.EndDone}}})
	dirty, err := o.s.cell.TakeDirty(1)
	must.NoError(t, err)
	must.Len(t, 1, dirty)
	o.s.cell.MarkSaved(dirty[0])
}

// Guards against a start and an acknowledgement that a restarted runner executes one after the other: they are under way
// at the same time.
func TestStartWaitsWhileEndsAreAcknowledged(t *testing.T) {
	o := newOrderTest(t, 0)
	o.endFirstRun(t)
	l := o.s.runnerLoops["r0"]
	acknowledging, startEnded := l.nextRenewal(true)
	must.Nil(t, startEnded)
	must.Eq(t, 1, acknowledging.AckedEnd)
	must.Eq(t, 0, acknowledging.Wait, must.Sprint("starts would wait as long"))
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		o.s.sendStart(o.starts[1], startOrderBytes)
	}()
	select {
	case <-sent:
		t.Fatal("the start did not wait")
	case <-time.After(100 * time.Millisecond):
	}
	must.Eq(t, 1, o.startCalls.Load())
	o.s.exclusive(func() { l.endAcknowledgement(true) })
	<-sent
	must.Eq(t, 2, o.startCalls.Load())
}

// Guards against the same in the other order, and against leases that lapse because the answer to a start is late.
func TestAcknowledgementWaitsForStartsForAWhile(t *testing.T) {
	o := newOrderTest(t, 0)
	o.endFirstRun(t)
	l := o.s.runnerLoops["r0"]
	prepared := o.s.cell.PrepareStart(time.Now(), o.starts[1])
	must.Positive(t, prepared.Attempt)
	_, startEnded := l.nextRenewal(true)
	must.NotNil(t, startEnded)
	next, startEnded := l.nextRenewal(false)
	must.Nil(t, startEnded)
	must.Eq(t, 0, next.AckedEnd)
	must.Positive(t, next.LeaseEnd)
	o.s.recordStart(o.starts[1].Run, prepared.Attempt, cell.StartOK, "", nil)
	next, _ = l.nextRenewal(true)
	must.Eq(t, 1, next.AckedEnd)
}

// Guards against a VM that is busy for half a second as its term ends.
func TestAcknowledgementDoesNotWaitAfterTheTerm(t *testing.T) {
	o := newOrderTest(t, 0)
	o.endFirstRun(t)
	must.Positive(t, o.s.cell.PrepareStart(time.Now(), o.starts[1]).Attempt)
	o.s.stepDown()
	begin := time.Now()
	o.s.runnerLoops["r0"].renewLease()
	must.Less(t, maxStartsWait/2, time.Since(begin))
}

// Guards against acknowledgements without an answer, which use up fencing tokens, because a report is needed at once.
func TestAcknowledgementIsNotCancelled(t *testing.T) {
	s := newIdleScheduler(t)
	l := newReportedRunner(s)
	l.setClock(time.Now(), time.Now(), platform.RunnerClock{Reading: time.Minute})
	interrupted := false
	l.cancelRenewal, l.acknowledging = func() { interrupted = true }, true
	l.renewNow()
	must.False(t, interrupted)
	l.acknowledging = false
	next, _ := l.nextRenewal(true)
	must.Eq(t, 0, next.Wait)
	l.renewNow()
	must.True(t, interrupted)
}

// Guards against a start that counts as executed by the incarnation that is known: another one, which is as old as that was,
// has accepted it.
func TestClockOfAYoungRunnerIdentifiesNoIncarnation(t *testing.T) {
	l := newReportedRunner(newIdleScheduler(t))
	now := time.Now()
	must.False(t, l.identifies(now, platform.RunnerClock{Reading: time.Hour}), must.Sprint("no clock was read before"))
	l.setClock(now.Add(-time.Second), now.Add(-10*time.Millisecond), platform.RunnerClock{Reading: 900 * time.Millisecond})
	must.False(t, l.identifies(now, platform.RunnerClock{Reading: 910 * time.Millisecond}))
	must.True(t, l.identifies(now, platform.RunnerClock{Reading: 1010 * time.Millisecond}))
}

// Guards against tokens that are used up by calls which were not executed, and against one that is not raised after a call
// which may be.
func TestOnlyCallsThatMayBeExecutedRaiseTheToken(t *testing.T) {
	must.True(t, certainlyNotExecuted(&platform.RefusedError{Reason: platform.RefusedFence}))
	must.True(t, certainlyNotExecuted(platform.ErrNotSent))
	must.True(t, certainlyNotExecuted(relay.ErrNotPassedOn))
	must.False(t, certainlyNotExecuted(platform.ErrNoAnswer))
	must.False(t, certainlyNotExecuted(relay.ErrLost))
	must.False(t, certainlyNotExecuted(errors.New("connection reset")))
}

// Guards against a busy VM that spends its processor on renewals which are answered at once, and so recovers late.
func TestRenewalsWithBarredEndsAreRarerWhenCallsTakeLong(t *testing.T) {
	s := newIdleScheduler(t)
	must.Eq(t, minBarredInterval, s.barredRenewalInterval(3*time.Millisecond))
	must.Eq(t, 600*time.Millisecond, s.barredRenewalInterval(30*time.Millisecond))
	must.Eq(t, maxBarredInterval, s.barredRenewalInterval(time.Second))
	s.listedRunners.Store(3000)
	must.Eq(t, 3*time.Second, s.barredRenewalInterval(3*time.Millisecond))
}
