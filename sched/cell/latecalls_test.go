package cell

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/sched/model"
)

// lateCallCell returns a cell whose calls may be carried out 10 s late.
func lateCallCell(t *testing.T, runners int) *testCell {
	w := newTestCell(t, runners)
	w.cell.cfg.LateCallLimit, w.cell.cfg.MaxLease = 10*time.Second, 6*time.Second
	w.cell.SetQueues([]Queue{plainQueue()})
	return w
}

// send prepares the start orders that a job's tasks get, and returns them.
func (w *testCell) send(id string, tasks int) []StartOrder {
	w.addJob(id, smallStep(tasks))
	starts := w.decideUntilStart(time.Second)
	must.Len(w.t, tasks, starts)
	for _, st := range starts {
		must.Positive(w.t, w.cell.PrepareStart(w.now, st).Attempt)
	}
	return starts
}

// endedRun lets a run of a job of its own end, and stores that.
func (w *testCell) endedRun(id string) {
	run := w.send(id, 1)[0].Run
	w.cell.RecordStartOutcome(w.now, run, StartOK, "")
	w.endRun(run, EndDone)
	w.writeStates()
}

func (w *testCell) ackState(id string) AckState {
	state, _ := w.cell.BeginAcknowledgement(w.now, id)
	return state
}

// Guards against a task that runs again after its success: a new incarnation of its runner executes a start that got no
// answer, and an acknowledgement that was meant for its predecessor removes the end.
func TestEndsAreNotAcknowledgedWhileAStartMayArrive(t *testing.T) {
	for name, c := range map[string]struct {
		settle func(w *testCell, run *Run)
		want   AckState
	}{
		"unanswered": {func(w *testCell, run *Run) {}, AckBarred},
		"not listed": {func(w *testCell, run *Run) { w.report("r0", Report{Incarnation: 1}) }, AckBarred},
		"listed": {func(w *testCell, run *Run) {
			w.report("r0", Report{Incarnation: 1, Running: []ReportedRun{{Task: run.Task, Execution: run.Execution}}})
		}, AckReady},
		"ended":            {func(w *testCell, run *Run) { w.endRun(run, EndStopped) }, AckReady},
		"answered late":    {func(w *testCell, run *Run) { w.cell.RecordStartOutcome(w.now, run, StartOK, "") }, AckReady},
		"refused late":     {func(w *testCell, run *Run) { w.cell.RecordStartOutcome(w.now, run, StartRefused, "old") }, AckReady},
		"stopped":          {func(w *testCell, run *Run) { w.cell.orderStop(w.now, run); w.cell.RecordStopAck(w.now, run) }, AckBarred},
		"shortly too late": {func(w *testCell, run *Run) { w.now = w.now.Add(10*time.Second - time.Millisecond) }, AckBarred},
		"too late":         {func(w *testCell, run *Run) { w.now = w.now.Add(10 * time.Second) }, AckReady},
	} {
		t.Run(name, func(t *testing.T) {
			w := lateCallCell(t, 1)
			w.endedRun("0000000000000001")
			run := w.send("0000000000000002", 1)[0].Run
			must.Eq(t, AckAfterStarts, w.ackState("r0"))
			w.cell.RecordStartOutcome(w.now, run, StartUnknown, "")
			c.settle(w, run)
			must.Eq(t, c.want, w.ackState("r0"))
		})
	}
}

// Guards against the same when the restart is not noticed in the answer to the start, because the incarnation before was
// young as well.
func TestStartOfUnknownIncarnationIsSettledByTheNextReport(t *testing.T) {
	w := lateCallCell(t, 1)
	w.endedRun("0000000000000001")
	run := w.send("0000000000000002", 1)[0].Run
	asked := w.now
	w.now = w.now.Add(10 * time.Millisecond)
	w.cell.RecordUnidentifiedAnswer(w.now, run, run.attempt)
	w.cell.RecordStartOutcome(w.now, run, StartOK, "")
	must.Eq(t, AckBarred, w.ackState("r0"))
	rep := Report{Incarnation: 1}
	w.cell.HandleReport(w.now, asked, "r0", rep)
	must.Eq(t, AckBarred, w.ackState("r0"), must.Sprint("the report was asked for before the answer"))
	w.cell.HandleReport(w.now, w.now.Add(time.Millisecond), "r0", rep)
	must.Eq(t, AckReady, w.ackState("r0"))
}

// Guards against the same with an acknowledgement that is sent first: no start follows before it is answered, and after
// one without an answer a start carries a token with which a new incarnation refuses the acknowledgement.
func TestStartsDoNotMeetAnEarlierAcknowledgement(t *testing.T) {
	for name, answered := range map[string]bool{"answered": true, "unanswered": false} {
		t.Run(name, func(t *testing.T) {
			w := lateCallCell(t, 1)
			w.endedRun("0000000000000001")
			w.addJob("0000000000000002", smallStep(1))
			st := w.decideUntilStart(time.Second)[0]
			before, _ := w.cell.Token("r0")
			must.Eq(t, AckReady, w.ackState("r0"))
			must.True(t, w.cell.PrepareStart(w.now, st).Blocked)
			w.cell.EndAcknowledgement("r0", answered)
			prepared := w.cell.PrepareStart(w.now, st)
			must.Positive(t, prepared.Attempt)
			must.Eq(t, answered, prepared.Token == before)
			must.GreaterEq(t, before, prepared.Token)
			must.False(t, w.cell.RestartedSince("r0", before))
		})
	}
}

// Guards against a term that ends soon because its tokens are used up by lost answers: the next report shows that the
// acknowledgement was executed. It does not show that of the first one of two.
func TestListedAcknowledgementUsesNoToken(t *testing.T) {
	for name, c := range map[string]struct {
		repeated bool
		want     int64
	}{"one": {false, 0}, "two": {true, 1}} {
		t.Run(name, func(t *testing.T) {
			w := lateCallCell(t, 1)
			w.endedRun("0000000000000001")
			must.Eq(t, AckReady, w.ackState("r0"))
			w.cell.EndAcknowledgement("r0", false)
			if c.repeated {
				must.Eq(t, AckReady, w.ackState("r0"))
				w.cell.EndAcknowledgement("r0", true)
			}
			w.report("r0", Report{Incarnation: 1})
			w.send("0000000000000002", 1)
			token, _ := w.cell.Token("r0")
			must.Eq(t, c.want, token)
		})
	}
}

// Guards against ends that are never acknowledged because starts follow each other without a pause.
func TestAcknowledgementHoldsBackFurtherStarts(t *testing.T) {
	w := lateCallCell(t, 1)
	w.endedRun("0000000000000001")
	run := w.send("0000000000000002", 1)[0].Run
	w.addJob("0000000000000003", smallStep(1))
	next := w.decideUntilStart(time.Second)[0]
	must.Eq(t, AckAfterStarts, w.ackState("r0"))
	must.True(t, w.cell.PrepareStart(w.now, next).Blocked)
	w.cell.RecordStartOutcome(w.now, run, StartOK, "")
	must.Eq(t, AckReady, w.ackState("r0"))
	w.cell.EndAcknowledgement("r0", true)
	must.Positive(t, w.cell.PrepareStart(w.now, next).Attempt)
}

// Guards against ends that nobody sees because the list of unacknowledged ends is full: nothing starts on a runner that
// lists many, until the starts without an answer are too old to arrive.
func TestNothingStartsWhileManyEndsAreListed(t *testing.T) {
	w := lateCallCell(t, 1)
	rep := Report{Incarnation: 1}
	for n := range maxListedEnds {
		rep.Ended = append(rep.Ended, ReportedEnd{Number: int64(n + 1), Task: TaskRef{Job: "00000000000000ff"}, Execution: 1, Kind: EndDone})
	}
	w.report("r0", rep)
	w.addJob("0000000000000001", smallStep(1))
	must.SliceEmpty(t, w.decideUntilStart(time.Second))
	rep.Ended = rep.Ended[1:]
	w.report("r0", rep)
	must.Len(t, 1, w.decideUntilStart(time.Second))
}

// Guards against a task that runs again after its success: an incarnation that the scheduler has not noticed yet executes a
// start with a ticket that was issued for it. Also guards against ends that wait for such a start for long.
func TestStartWithTicketMayArriveUntilTheTicketExpires(t *testing.T) {
	w := lateCallCell(t, 1)
	w.endedRun("0000000000000001")
	q := advisedQueue()
	w.cell.SetQueues([]Queue{q})
	w.addJob("0000000000000002", smallStep(1))
	st := w.decideUntilStart(time.Second)[0]
	must.NotEq(t, "", st.Ticket)
	must.Positive(t, w.cell.PrepareStart(w.now, st).Attempt)
	must.Eq(t, AckAfterStarts, w.ackState("r0"))
	w.cell.RecordStartOutcome(w.now, st.Run, StartUnknown, "")
	must.Eq(t, AckBarred, w.ackState("r0"))
	w.now = w.now.Add(q.Advice.Validity + time.Second)
	must.Eq(t, AckReady, w.ackState("r0"))
	must.Greater(t, q.Advice.Validity+time.Second, w.cell.cfg.LateCallLimit)
}

// Guards against a runner that is forgotten with its token, or with a start that its next incarnation may execute.
func TestRunnerIsKeptWhileAStartMayArrive(t *testing.T) {
	w := lateCallCell(t, 1)
	run := w.send("0000000000000001", 1)[0].Run
	w.cell.RecordStartOutcome(w.now, run, StartUnknown, "")
	w.cell.UnlistRunner("r0")
	w.cell.MarkReplaced(w.now, "r0")
	w.now = w.now.Add(time.Second)
	must.False(t, w.cell.CanRemoveRunner(w.now, "r0"))
	for range 40 {
		w.now = w.now.Add(time.Second)
		w.cell.Tick(w.now)
	}
	must.True(t, w.cell.CanRemoveRunner(w.now, "r0"))
	must.MapEmpty(t, w.cell.unsettled)
}

// restart makes a runner report, with and without its new fence, that it has restarted and lists nothing.
func (w *testCell) restart(id string, incarnation int64) {
	w.now = w.now.Add(time.Millisecond)
	w.report(id, Report{Incarnation: incarnation})
	info := w.cell.runners[id].info
	info.Incarnation = incarnation
	w.cell.SetRunner(w.now, info)
}

// drain makes a runner announce that it drains, or that it is ready again.
func (w *testCell) drain(id string, draining bool) {
	info := w.cell.runners[id].info
	info.Draining = draining
	w.cell.SetRunner(w.now, info)
}

// unlisted makes a sent start unanswered and unlisted.
func (w *testCell) unlisted(run *Run) {
	w.cell.RecordStartOutcome(w.now, run, StartUnknown, "")
	w.now = w.now.Add(time.Millisecond)
	w.report(run.Runner, Report{Incarnation: w.cell.runners[run.Runner].incarnation})
}

// Guards against two late starts of one task with different executions, both of which a new incarnation executes.
func TestUnansweredStartIsRepeatedWithItsExecution(t *testing.T) {
	w := lateCallCell(t, 2)
	run := w.send("0000000000000001", 1)[0].Run
	execution := run.Execution
	w.unlisted(run)
	again := w.decideUntilStart(time.Second)
	must.Len(t, 1, again)
	must.SliceEmpty(t, w.cell.TakeStops())
	must.Eq(t, run, again[0].Run)
	must.Eq(t, execution, again[0].Run.Execution)
	first := run.attempt
	must.Positive(t, w.cell.PrepareStart(w.now, again[0]).Attempt)
	w.cell.RecordStartOutcome(w.now, run, StartOK, "")
	must.Eq(t, Active, run.Phase)
	must.NotNil(t, w.cell.unsettledAttempt(run, first), must.Sprint("the first order may still arrive"))
	// A listed run does not show which of the orders was executed.
	w.report(run.Runner, Report{Incarnation: 1, Running: []ReportedRun{{Task: run.Task, Execution: execution}}})
	w.endRun(run, EndDone)
	w.writeStates()
	must.Eq(t, AckBarred, w.ackState(run.Runner))
}

// Guards against a runner over its capacity, and against a task that starts elsewhere: the repeated order was refused, and
// the first one arrives.
func TestRunWhoseRepeatedStartIsRefusedKeepsItsCapacity(t *testing.T) {
	for _, reason := range []string{"room", StaleLate, refusedOld} {
		t.Run(reason, func(t *testing.T) {
			w := lateCallCell(t, 2)
			run := w.send("0000000000000001", 1)[0].Run
			w.unlisted(run)
			again := w.decideUntilStart(time.Second)
			attempt := 0
			if reason != StaleLate {
				attempt = w.cell.PrepareStart(w.now, again[0]).Attempt
			}
			w.cell.RecordAttempt(w.now, run, attempt, StartRefused, reason)
			must.Eq(t, run, w.cell.runners[run.Runner].runs[runKey{run.Task, run.Execution}])
			must.Eq(t, run.Runner, w.cell.boundRunner(run.Task))
			w.now = w.now.Add(time.Millisecond)
			w.report(run.Runner, Report{Incarnation: 1})
			d := w.cell.Decide(w.now, w.now)
			// An execution that its runner refuses for good is stopped, and the next one follows.
			must.Eq(t, reason == refusedOld, len(d.Stops) == 1)
			must.Eq(t, reason != refusedOld, len(d.Starts) == 1)
		})
	}
}

// Guards against a task that runs on two runners: its start got no answer, its runner restarted, it was started elsewhere,
// and the next incarnation of the first runner executes the start.
func TestTaskWhoseStartMayArriveStartsNowhereElse(t *testing.T) {
	w := lateCallCell(t, 2)
	run := w.send("0000000000000001", 1)[0].Run
	w.cell.RecordStartOutcome(w.now, run, StartUnknown, "")
	w.restart(run.Runner, 2)
	must.MapEmpty(t, w.cell.runners[run.Runner].runs)
	w.drain(run.Runner, true)
	must.SliceEmpty(t, w.decideUntilStart(2*time.Second))
	view, _ := w.cell.JobView(w.now, w.now, "0000000000000001")
	must.Eq(t, reasonBound, view.Why.Reason)
	w.drain(run.Runner, false)
	again := w.decideUntilStart(time.Second)
	must.Len(t, 1, again)
	must.Eq(t, run.Runner, again[0].Run.Runner)
	must.Eq(t, run.Execution, again[0].Run.Execution)
}

// Guards against a task that waits for a start which cannot arrive any more.
func TestTaskStartsElsewhereOnceItsStartCannotArrive(t *testing.T) {
	const limit = 10 * time.Second
	for name, c := range map[string]struct {
		// heard tells that the runner reports after the limit.
		heard bool
		want  time.Duration
	}{
		"its runner is heard":  {true, limit},
		"its runner is silent": {false, limit + 6*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			w := lateCallCell(t, 2)
			begin := w.now
			run := w.send("0000000000000001", 1)[0].Run
			w.cell.RecordStartOutcome(w.now, run, StartUnknown, "")
			w.restart(run.Runner, 2)
			w.drain(run.Runner, true)
			var again []StartOrder
			for again == nil {
				must.Less(t, time.Minute, w.now.Sub(begin))
				again = w.decideUntilStart(200 * time.Millisecond)
				if c.heard {
					w.report(run.Runner, Report{Incarnation: 2})
				}
			}
			must.NotEq(t, run.Runner, again[0].Run.Runner)
			must.Between(t, c.want, w.now.Sub(begin), c.want+1500*time.Millisecond)
		})
	}
}

// Guards against a run that holds capacity for good: its runner drains, and its start is never repeated.
func TestUnlistedRunIsStoppedOnceItsStartCannotArrive(t *testing.T) {
	w := lateCallCell(t, 2)
	run := w.send("0000000000000001", 1)[0].Run
	w.drain(run.Runner, true)
	w.unlisted(run)
	must.SliceEmpty(t, w.cell.Decide(w.now, w.now).Starts)
	must.SliceEmpty(t, w.cell.TakeStops())
	w.now = w.now.Add(10 * time.Second)
	w.report(run.Runner, Report{Incarnation: 1})
	w.cell.Tick(w.now)
	w.report(run.Runner, Report{Incarnation: 1})
	must.Len(t, 1, w.cell.TakeStops())
}

// loseGangMember makes a sent start of a gang member count as lost: it got no answer, is not listed, and its stop is
// acknowledged.
func (w *testCell) loseGangMember(run *Run) {
	w.unlisted(run)
	w.cell.RecordStopAck(w.now, run)
	w.now = w.now.Add(time.Millisecond)
	w.report(run.Runner, Report{Incarnation: 1})
	must.MapEmpty(w.t, w.cell.runners[run.Runner].runs)
}

// Guards against the same for a member of a gang, and against a gang that never starts because the other members take
// the place of that member.
func TestGangMemberWhoseStartMayArriveKeepsItsRunner(t *testing.T) {
	w := lateCallCell(t, 3)
	w.addJob("0000000000000001", gangFillingRunners(2))
	starts := w.decideUntilStart(time.Second)
	must.Len(t, 2, starts)
	for _, st := range starts {
		must.Positive(t, w.cell.PrepareStart(w.now, st).Attempt)
	}
	late, other := starts[1].Run, starts[0].Run
	w.cell.RecordStartOutcome(w.now, other, StartOK, "")
	w.loseGangMember(late)
	w.endRun(other, EndStopped)
	w.drain(late.Runner, true)
	must.SliceEmpty(t, w.decideUntilStart(2*time.Second))
	w.drain(late.Runner, false)
	again := w.decideUntilStart(3 * time.Second)
	must.Len(t, 2, again)
	must.Eq(t, late.Runner, again[late.Task.Index].Run.Runner)
	must.NotEq(t, late.Runner, again[other.Task.Index].Run.Runner)
}

// Guards against a task that runs on two runners after a change of the scheduler: the new one does not know that a start of
// it got no answer.
func TestNextSchedulerKnowsUnansweredStarts(t *testing.T) {
	w := lateCallCell(t, 2)
	run := w.send("0000000000000001", 1)[0].Run
	version := w.cell.UnsettledVersion()
	must.Len(t, 1, w.cell.UnsettledStarts(10), must.Sprint("a start under way is part of the record"))
	w.cell.RecordStartOutcome(w.now, run, StartUnknown, "")
	must.NotEq(t, version, w.cell.UnsettledVersion())
	starts := w.cell.UnsettledStarts(10)
	must.Eq(t, []UnsettledStart{{Task: run.Task, Execution: run.Execution, Runner: run.Runner}}, starts)

	next := lateCallCell(t, 0)
	next.cell.AdoptUnsettledStarts(next.now, starts)
	next.addRunners(0, 2)
	next.endedRunOn(run.Runner)
	must.Eq(t, AckBarred, next.ackState(run.Runner))
	next.addJob("0000000000000001", smallStep(1))
	next.drain(run.Runner, true)
	must.SliceEmpty(t, next.decideUntilStart(2*time.Second))
	next.drain(run.Runner, false)
	again := next.decideUntilStart(time.Second)
	must.Len(t, 1, again)
	must.Eq(t, run.Runner, again[0].Run.Runner)
	must.Eq(t, run.Execution, again[0].Run.Execution)
	next.now = next.now.Add(time.Minute)
	next.cell.Tick(next.now)
	must.SliceEmpty(t, next.cell.UnsettledStarts(10))
}

// endedRunOn reports the stored end of a run that the cell does not know.
func (w *testCell) endedRunOn(runner string) {
	w.report(runner, Report{Incarnation: 1, Ended: []ReportedEnd{{Number: 1, Task: TaskRef{Job: "00000000000000ff"}, Execution: 1, Kind: EndDone}}})
}

// Guards against a start that is refused over and over: its execution was stopped on the runner by an earlier scheduler.
func TestNextSchedulerDoesNotRepeatAStoppedExecution(t *testing.T) {
	w := lateCallCell(t, 1)
	run := w.send("0000000000000001", 1)[0].Run
	w.cell.RecordStartOutcome(w.now, run, StartUnknown, "")
	w.cell.orderStop(w.now, run)
	starts := w.cell.UnsettledStarts(10)
	must.True(t, starts[0].Closed)

	next := lateCallCell(t, 0)
	next.cell.cfg.FirstExecution = 1000
	next.cell.AdoptUnsettledStarts(next.now, starts)
	next.addRunners(0, 1)
	next.addJob("0000000000000001", smallStep(1))
	must.Eq(t, 1000, next.decideUntilStart(time.Second)[0].Run.Execution)
}

// Guards against a run that holds capacity for good: its job is cancelled between the report that lacks it and the decision
// to repeat its start.
func TestCancelledRunIsNotRepeated(t *testing.T) {
	w := lateCallCell(t, 1)
	run := w.send("0000000000000001", 1)[0].Run
	w.unlisted(run)
	must.Eq(t, Sending, run.Phase)
	must.True(t, w.cell.Cancel(w.now, "0000000000000001"))
	w.writeStates()
	d := w.cell.Decide(w.now, w.now)
	must.SliceEmpty(t, d.Starts)
	must.Len(t, 1, d.Stops)
	w.cell.RecordStopAck(w.now, run)
	w.now = w.now.Add(time.Millisecond)
	w.report("r0", Report{Incarnation: 1})
	must.MapEmpty(t, w.cell.runners["r0"].runs)
}

// Guards against a task that starts too often: a failed execution is used again, and its second failure is not counted.
func TestFailedExecutionIsNotRepeated(t *testing.T) {
	w := lateCallCell(t, 1)
	run := w.send("0000000000000001", 1)[0].Run
	w.cell.RecordStartOutcome(w.now, run, StartUnknown, "")
	starts := w.cell.UnsettledStarts(10)

	next := lateCallCell(t, 0)
	next.cell.AdoptUnsettledStarts(next.now, starts)
	next.addRunners(0, 1)
	j := next.addJob("0000000000000001", smallStep(1))
	j.group(0, 0).tasks[0].failedExecutions = []int64{run.Execution}
	j.group(0, 0).tasks[0].lastExecution = run.Execution
	must.Greater(t, run.Execution, next.decideUntilStart(5 * time.Second)[0].Run.Execution)
}

// Guards against a VM that recovers late from a burst because each end costs a call more, and against a start that waits for
// as long as the call to a full runner does.
func TestAcknowledgementGoesAlongOnAFullRunner(t *testing.T) {
	w := lateCallCell(t, 1)
	w.endedRun("0000000000000001")
	w.addJob("0000000000000002", gangFillingRunners(1))
	full := w.decideUntilStart(time.Second)[0]
	must.Positive(t, w.cell.PrepareStart(w.now, full).Attempt)
	w.cell.RecordStartOutcome(w.now, full.Run, StartOK, "")
	w.cell.runners["r0"].token = alongTokenLimit
	must.Eq(t, AckReady, w.ackState("r0"), must.Sprint("starts would use up the tokens of the term"))
	w.cell.runners["r0"].token = 0
	must.Eq(t, AckAlong, w.ackState("r0"))
	before, _ := w.cell.Token("r0")
	w.cell.EndAcknowledgement("r0", true)
	w.report("r0", Report{Incarnation: 1, Ended: []ReportedEnd{{Number: 2, Task: full.Run.Task, Execution: full.Run.Execution, Kind: EndDone}}})
	w.writeStates()
	w.addJob("0000000000000003", smallStep(1))
	next := w.decideUntilStart(time.Second)[0]
	// The runner became free while the call waited.
	w.cell.runners["r0"].ackAlong, w.cell.runners["r0"].ackToken = true, before
	prepared := w.cell.PrepareStart(w.now, next)
	must.Eq(t, before+1, prepared.Token)
	w.cell.EndAcknowledgement("r0", false)
	w.cell.RecordStartOutcome(w.now, next.Run, StartOK, "")
	w.addJob("0000000000000004", smallStep(1))
	must.Eq(t, before+1, w.cell.PrepareStart(w.now, w.decideUntilStart(time.Second)[0]).Token, must.Sprint("one token is enough"))
}

// Guards against a runner that counts as full for good because of a start that took little long ago.
func TestLeastClaimsForgetOldStarts(t *testing.T) {
	var l leastClaims
	now := time.Unix(1000, 0)
	_, ok := l.least(now)
	must.False(t, ok)
	l.add(now, model.Resources{MilliCPU: 10, MemoryMB: 900})
	l.add(now, model.Resources{MilliCPU: 90, MemoryMB: 100})
	got, ok := l.least(now)
	must.True(t, ok)
	must.Eq(t, model.Resources{MilliCPU: 10, MemoryMB: 100}, got)
	now = now.Add(leastClaimsSpan)
	l.add(now, model.Resources{MilliCPU: 50, MemoryMB: 500})
	got, _ = l.least(now)
	must.Eq(t, model.Resources{MilliCPU: 10, MemoryMB: 100}, got)
	got, _ = l.least(now.Add(leastClaimsSpan))
	must.Eq(t, model.Resources{MilliCPU: 50, MemoryMB: 500}, got)
	_, ok = l.least(now.Add(3 * leastClaimsSpan))
	must.False(t, ok)
}
