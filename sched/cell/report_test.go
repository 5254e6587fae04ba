package cell

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against starting a task again that is done: its end came after a full report of
// ends that the runner may not forget yet, and the cell treated the run as lost.
func TestRunIsNotLostWhileMoreEndsAreListed(t *testing.T) {
	w := newTestCell(t, 1)
	w.cell.SetQueues([]Queue{plainQueue()})
	w.addJob("0000000000000001", smallStep(1))
	run := w.stepUntilStart(time.Second)[0].Run
	w.now = w.now.Add(time.Second)
	w.report(run.Runner, fullReport())
	must.SliceEmpty(t, w.stepUntilStart(time.Second))
	w.report(run.Runner, Report{Incarnation: 1, Ended: []ReportedEnd{{Number: maxEndsPerReport + 1, Task: run.Task, Execution: run.Execution, Kind: EndDone}}})
	must.SliceEmpty(t, w.stepUntilStart(time.Second))
	must.Eq(t, Completed, w.cell.Job("0000000000000001").State())
}

// Guards against two runs of a task and a run that is never stopped: the runner restarted
// after it had acknowledged the stop of a start order without an answer, and that start
// order reaches the new incarnation.
func TestStopIsRepeatedAfterRunnerRestarted(t *testing.T) {
	w := newTestCell(t, 1)
	w.cell.SetQueues([]Queue{plainQueue()})
	w.addJob("0000000000000001", smallStep(1))
	run := w.decideUntilStart(time.Second)[0].Run
	w.cell.RecordStartOutcome(w.now, run, StartUnknown, "")
	w.now = w.now.Add(100 * time.Millisecond)
	w.report(run.Runner, Report{Incarnation: 1})
	must.Eq(t, []*Run{run}, w.stopsAfter(0))
	w.cell.RecordStopAck(w.now, run)
	w.now = w.now.Add(100 * time.Millisecond)
	w.cell.HandleReport(w.now, w.now, run.Runner, Report{Incarnation: 2})
	// The start order may still reach the new incarnation, until it has seen its fence.
	must.SliceEmpty(t, w.decideUntilStart(100*time.Millisecond))
	w.report(run.Runner, Report{Incarnation: 2, Running: []ReportedRun{{Task: run.Task, Execution: run.Execution}}})
	must.Eq(t, []*Run{run}, w.stopsAfter(0))
	must.SliceEmpty(t, w.decideUntilStart(100*time.Millisecond))
	w.report(run.Runner, Report{Incarnation: 2, Running: []ReportedRun{{Task: run.Task, Execution: run.Execution}}})
	must.Eq(t, []*Run{run}, w.stopsAfter(3*time.Second))
}

// Guards against a run of a cancelled job that is never stopped: its start order was being
// sent at the time of the cancel, the runner restarted and lists the run, and the order
// gets no answer.
func TestListedRunOfCancelledJobIsStopped(t *testing.T) {
	w := newTestCell(t, 1)
	w.cell.SetQueues([]Queue{plainQueue()})
	j := w.addJob("0000000000000001", smallStep(1))
	run := w.decideUntilStart(time.Second)[0].Run
	w.cell.Cancel(w.now, j.ID)
	must.SliceEmpty(t, w.stopsAfter(100*time.Millisecond))
	w.report(run.Runner, Report{Incarnation: 2, Running: []ReportedRun{{Task: run.Task, Execution: run.Execution}}})
	w.cell.RecordStartOutcome(w.now, run, StartUnknown, "")
	must.Eq(t, []*Run{run}, w.stopsAfter(0))
}

// Guards against a cached list of runs that does not change when a run is added or removed:
// a run that is missing would never be found lost or stalled, and a run that is gone would
// be ended twice.
func TestSortedRunsFollowAddedAndRemovedRuns(t *testing.T) {
	w := newTestCell(t, 1)
	w.addJob("a", smallStep(3))
	starts := w.stepUntilStart(time.Second)
	must.Len(t, 3, starts)
	r := w.cell.runners["r0"]
	indexes := func() []int {
		var out []int
		for _, run := range r.sortedRuns() {
			out = append(out, run.Task.Index)
		}
		return out
	}
	must.Eq(t, []int{0, 1, 2}, indexes())
	w.endRun(starts[1].Run, EndDone)
	must.Eq(t, []int{0, 2}, indexes())
	w.addJob("Z", smallStep(1))
	must.Len(t, 1, w.stepUntilStart(time.Second))
	must.Eq(t, []int{0, 0, 2}, indexes())
	// The slice that a caller holds does not change while runs are removed, for example
	// when all leases expire.
	before := r.sortedRuns()
	w.cell.loseRuns(w.now, r, r.sortedRuns(), lostLeaseLapsed)
	must.Len(t, 3, before)
	must.SliceEmpty(t, indexes())
}

// Guards against a task that runs twice: a start order without an answer reaches a runner
// that has restarted, whose new clock makes the order's lease as long as leases may be.
func TestTaskWaitsForLateStartOnRestartedRunner(t *testing.T) {
	w := newTestCell(t, 2)
	w.cell.cfg.MaxLease = 10 * time.Second
	w.cell.SetQueues([]Queue{plainQueue()})
	w.addJob("0000000000000001", smallStep(1))
	run := w.decideUntilStart(time.Second)[0].Run
	w.cell.RecordStartOutcome(w.now, run, StartUnknown, "")
	w.cell.HandleReport(w.now, w.now, run.Runner, Report{Incarnation: 2})
	w.cell.MarkUnreachable(run.Runner)
	w.cell.UnlistRunner(run.Runner)
	must.SliceEmpty(t, w.stepUntilStart(10*time.Second))
	must.Len(t, 1, w.stepUntilStart(2*time.Second))
}

// Guards against a large cell that spends its processor on decisions after reports which only show that
// runs go on, and against reports whose consequence waits for the next tick.
func TestOnlyReportsThatChangeSomethingNeedADecision(t *testing.T) {
	w := newTestCell(t, 1)
	w.addJob("a", smallStep(2))
	w.stepUntilStart(time.Second)
	w.step(100 * time.Millisecond)
	r := w.cell.runners["r0"]
	must.MapLen(t, 2, r.runs)
	report := Report{Incarnation: r.incarnation}
	for _, run := range r.sortedRuns() {
		report.Running = append(report.Running, ReportedRun{Task: run.Task, Execution: run.Execution, Percent: 10})
	}
	must.False(t, w.cell.HandleReport(w.now, w.now, "r0", report), must.Sprint("runs go on"))
	w.cell.MarkUnreachable("r0")
	must.True(t, w.cell.HandleReport(w.now, w.now, "r0", report), must.Sprint("the runner is back"))
	last := report.Running[1]
	report.Running = report.Running[:1]
	ended := report
	ended.Ended = []ReportedEnd{{Number: r.lastEndNumber + 1, Task: last.Task, Execution: last.Execution, Kind: EndDone}}
	must.True(t, w.cell.HandleReport(w.now, w.now, "r0", ended), must.Sprint("a run has ended"))
	later := w.now.Add(time.Second)
	must.True(t, w.cell.HandleReport(later, later, "r0", Report{Incarnation: r.incarnation}), must.Sprint("a run is lost"))
	must.False(t, w.cell.HandleReport(later, later, "unknown", Report{}))
}
