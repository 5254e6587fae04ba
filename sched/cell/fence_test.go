package cell

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fenced returns a report that answers a call with a fence.
func fenced(fence int64, rep Report) Report {
	rep.Fence = fence
	return rep
}

// running returns a report of incarnation 2 that lists a run.
func running(run *Run) Report {
	return Report{Incarnation: 2, Running: []ReportedRun{{Task: run.Task, Execution: run.Execution, Percent: 10}}}
}

// Guards against a task that runs twice: its start order got no answer, the runner restarted, and the new
// incarnation executes the order after it has reported that it runs nothing.
func TestRunOfRestartedRunnerIsLostOnceItsOrderIsRefused(t *testing.T) {
	for name, outcome := range map[string]StartOutcome{"answered": StartOK, "unanswered": StartUnknown} {
		t.Run(name, func(t *testing.T) {
			w := newTestCell(t, 2)
			w.cell.SetQueues([]Queue{plainQueue()})
			w.addJob("0000000000000001", smallStep(1))
			run := w.decideUntilStart(time.Second)[0].Run
			w.cell.RecordStartOutcome(w.now, run, outcome, "")
			report := func(rep Report) { w.cell.HandleReport(w.now, w.now, run.Runner, rep) }
			report(fenced(0, Report{Incarnation: 2}))
			must.SliceEmpty(t, w.decideUntilStart(time.Second), must.Sprint("the order may still be executed"))
			report(fenced(0, Report{Incarnation: 2}))
			must.SliceEmpty(t, w.decideUntilStart(100*time.Millisecond), must.Sprint("the call was sent before the restart was noticed"))
			report(fenced(1, Report{Incarnation: 2}))
			must.Len(t, 1, w.decideUntilStart(time.Second))
		})
	}
}

// Guards against a task that runs twice: the new incarnation of its runner executed the start order late, and
// lists the run or its end.
func TestLateStartInNextIncarnationCounts(t *testing.T) {
	w := newTestCell(t, 2)
	w.cell.SetQueues([]Queue{plainQueue()})
	j := w.addJob("0000000000000001", smallStep(2))
	starts := w.decideUntilStart(time.Second)
	must.Len(t, 2, starts)
	first, second := starts[0].Run, starts[1].Run
	must.Eq(t, first.Runner, second.Runner)
	w.cell.RecordStartOutcome(w.now, first, StartUnknown, "")
	w.cell.RecordStartOutcome(w.now, second, StartUnknown, "")
	report := func(rep Report) { w.cell.HandleReport(w.now, w.now, first.Runner, rep) }
	report(fenced(0, running(first)))
	rep := running(first)
	rep.Ended = []ReportedEnd{{Number: 1, Task: second.Task, Execution: second.Execution, Kind: EndDone}}
	report(fenced(1, rep))
	must.SliceEmpty(t, w.decideUntilStart(time.Second))
	must.Eq(t, Active, first.Phase)
	report(fenced(1, Report{Incarnation: 2, Ended: []ReportedEnd{
		{Number: 1, Task: second.Task, Execution: second.Execution, Kind: EndDone}, {Number: 2, Task: first.Task, Execution: first.Execution, Kind: EndDone},
	}}))
	must.Eq(t, Completed, j.State())
}

// Guards against ends that nobody has read and a restarted runner forgets: a renewal that was meant for its former
// life acknowledges ends by their numbers, and the work that ended has been started there meanwhile. Nothing
// starts on a runner before it refuses such calls.
func TestRestartedRunnerIsUsedOnceItRefusesEarlierCalls(t *testing.T) {
	for name, notice := range map[string]func(w *testCell){
		"report":  func(w *testCell) { w.cell.HandleReport(w.now, w.now, "r0", Report{Incarnation: 2}) },
		"clock":   func(w *testCell) { w.cell.RecordRestart(w.now, "r0") },
		"address": func(w *testCell) { w.cell.MarkReplaced(w.now, "r0") },
		"entry": func(w *testCell) {
			info := w.cell.runners["r0"].info
			info.Incarnation = 2
			must.True(t, w.cell.SetRunner(w.now, info))
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestCell(t, 1)
			w.cell.SetQueues([]Queue{plainQueue()})
			notice(w)
			info := w.cell.runners["r0"].info
			info.Incarnation = 2
			w.cell.SetRunner(w.now, info)
			w.addJob("0000000000000001", smallStep(1))
			// Further signs of the same restart need no other fence.
			w.cell.RecordRestart(w.now, "r0")
			fence, confirmed := w.cell.Token("r0")
			must.Eq(t, 1, fence)
			must.False(t, confirmed)
			w.cell.HandleReport(w.now, w.now, "r0", Report{Incarnation: 2})
			must.SliceEmpty(t, w.decideUntilStart(time.Second))
			w.cell.HandleReport(w.now, w.now, "r0", fenced(1, Report{Incarnation: 2}))
			starts := w.decideUntilStart(time.Second)
			must.Len(t, 1, starts)
			must.Eq(t, 1, starts[0].Run.Fence)
		})
	}
}

// Guards against calls that are refused for good: a runner comes back under its id after it was removed, and has
// seen the fences that were begun before.
func TestFenceOfRemovedRunnerIsKept(t *testing.T) {
	w := newTestCell(t, 1)
	info := w.cell.runners["r0"].info
	w.report("r0", Report{Incarnation: 2})
	w.cell.UnlistRunner("r0")
	w.cell.RemoveRunner("r0")
	fence, confirmed := w.cell.Token("r0")
	must.Eq(t, 1, fence)
	must.False(t, confirmed)
	w.cell.SetRunner(w.now, info)
	fence, _ = w.cell.Token("r0")
	must.Eq(t, 1, fence)
}

// Guards against an acknowledgement that is repeated needlessly: each one that is on its way at a restart may
// remove ends of the next incarnation.
func TestEndsAreAcknowledgedUntilTheRunnerAnswers(t *testing.T) {
	w := newTestCell(t, 1)
	w.cell.SetQueues([]Queue{plainQueue()})
	w.addJob("0000000000000001", smallStep(1))
	run := w.stepUntilStart(time.Second)[0].Run
	must.Eq(t, 0, w.cell.EndToAcknowledge("r0"))
	w.endRun(run, EndDone)
	must.Eq(t, 0, w.cell.EndToAcknowledge("r0"))
	w.writeStates()
	must.Eq(t, 1, w.cell.EndToAcknowledge("r0"))
	must.Eq(t, 1, w.cell.EndToAcknowledge("r0"), must.Sprint("not answered yet"))
	w.report("r0", Report{Incarnation: 1, AckedEnd: 1})
	must.Eq(t, 0, w.cell.EndToAcknowledge("r0"))
}

// Guards against best-effort work that works at another pace than assumed beside tasks that serve users: its pace
// was set on the former incarnation of its runner.
func TestPaceOfKeptRunIsOrderedAgain(t *testing.T) {
	w := newTestCell(t, 1)
	w.cell.SetQueues([]Queue{plainQueue()})
	serving, filling := smallStep(1), smallStep(1)
	serving.LongRunning, serving.TailLatencyTarget, filling.BestEffort = true, 100*time.Millisecond, true
	w.addJob("0000000000000001", serving, filling)
	rep := Report{Incarnation: 2}
	var filler *Run
	for _, s := range w.stepUntilStart(time.Second) {
		// The tail latency asks for no other pace.
		rep.Running = append(rep.Running, ReportedRun{Task: s.Run.Task, Execution: s.Run.Execution, Percent: 10, Gauge: 60})
		if s.Run.Task.Step == 1 {
			filler = s.Run
		}
	}
	must.Len(t, 2, rep.Running)
	w.cell.RecordPaceAck(filler, 20)
	w.cell.HandleReport(w.now, w.now, "r0", Report{Incarnation: 2})
	w.cell.HandleReport(w.now, w.now, "r0", fenced(1, rep))
	paces := w.cell.Decide(w.now, w.now).Paces
	must.Len(t, 1, paces)
	must.Eq(t, fullPacePercent, paces[0].Percent)
}

// Guards against ends that are removed unnoticed: a late acknowledgement reaches a later incarnation of the runner.
func TestEndsRemovedUnreadAreReported(t *testing.T) {
	w := newTestCell(t, 1)
	w.cell.SetQueues([]Queue{plainQueue()})
	w.addJob("0000000000000001", smallStep(1))
	run := w.stepUntilStart(time.Second)[0].Run
	w.endRun(run, EndDone)
	w.writeStates()
	state, _ := w.cell.BeginAcknowledgement(w.now, "r0")
	must.Eq(t, AckReady, state)
	w.cell.TakeEvents()
	w.report("r0", Report{Incarnation: 2})
	w.report("r0", fenced(1, Report{Incarnation: 2, Ended: []ReportedEnd{{Number: 3, Task: run.Task, Execution: run.Execution, Kind: EndDone}}}))
	var restarted, removed *Event
	for _, e := range w.cell.TakeEvents() {
		switch e.Kind {
		case EventRunnerRestarted:
			restarted = &e
		case EventEndsRemovedUnread:
			removed = &e
		default:
		}
	}
	must.NotNil(t, restarted)
	must.Eq(t, 1, restarted.UnansweredAck)
	must.NotNil(t, removed)
	must.Eq(t, 2, removed.Count)
}
