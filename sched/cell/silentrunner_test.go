package cell

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/sched/model"
)

// Guards against finished work that runs again: the task ended on a runner that lives and only
// could not be heard for longer than its leases, because the scheduler's VM or the network
// between them was overloaded.
func TestFinishedRunOfSilentRunnerIsNotRepeated(t *testing.T) {
	w := newTestCell(t, 2)
	w.cell.SetQueues([]Queue{plainQueue()})
	j := w.addJob("0000000000000001", smallStep(1))
	run := w.stepUntilStart(time.Second)[0].Run
	w.cell.RenewLease(w.now, run.Runner)
	w.cell.MarkUnreachable(run.Runner)
	must.SliceEmpty(t, w.stepUntilStart(w.cell.cfg.Lease+leaseMargin(w.cell.cfg.Lease)+silentRunnerGrace-time.Second))
	w.endRun(run, EndDone)
	w.writeStates()
	must.Eq(t, Completed, j.VisibleState())
	must.SliceEmpty(t, w.stepUntilStart(time.Minute))
}

// Guards against a task that waits forever for a runner that cannot be reached.
func TestTaskOfUnreachableRunnerStartsElsewhere(t *testing.T) {
	w := newTestCell(t, 2)
	w.cell.SetQueues([]Queue{plainQueue()})
	w.addJob("0000000000000001", smallStep(1))
	run := w.stepUntilStart(time.Second)[0].Run
	w.cell.RenewLease(w.now, run.Runner)
	w.cell.MarkUnreachable(run.Runner)
	second := w.stepUntilStart(w.cell.cfg.Lease + leaseMargin(w.cell.cfg.Lease) + silentRunnerGrace + time.Second)
	must.Len(t, 1, second)
	must.NotEq(t, run.Runner, second[0].Run.Runner)
}

// Guards against waiting for a runner that is gone: once its entry is removed, its runs are given
// up when their leases have expired.
func TestTaskOfRemovedRunnerStartsAfterItsLease(t *testing.T) {
	w := newTestCell(t, 2)
	w.cell.SetQueues([]Queue{plainQueue()})
	w.addJob("0000000000000001", smallStep(1))
	run := w.stepUntilStart(time.Second)[0].Run
	w.cell.RenewLease(w.now, run.Runner)
	w.cell.MarkUnreachable(run.Runner)
	w.cell.UnlistRunner(run.Runner)
	must.SliceEmpty(t, w.stepUntilStart(w.cell.cfg.Lease))
	must.Len(t, 1, w.stepUntilStart(time.Second))
}

// Guards against finished work that runs again after a takeover, because the runner that holds
// its end lives and answers the new scheduler late.
func TestTakeoverWaitsForEndsOfSilentRunner(t *testing.T) {
	w := newTestCell(t, 2)
	w.cell.SetQueues([]Queue{plainQueue()})
	w.addJob("0000000000000001", smallStep(1))
	run := w.stepUntilStart(time.Second)[0].Run
	saved, err := ParseSavedJob(w.stored["0000000000000001"])
	must.NoError(t, err)

	next := newTestCell(t, 0)
	next.cell.SetQueues([]Queue{plainQueue()})
	for _, id := range []string{"r0", "r1"} {
		next.cell.SetRunner(next.now, w.cell.runners[id].info)
	}
	next.cell.SetInheritedRoster(w.cell.Roster())
	other := "r0"
	if run.Runner == other {
		other = "r1"
	}
	j := &Job{ID: "0000000000000001", Queue: "q", Pool: "pool", Spec: Spec{Payload: "p", Steps: []Step{smallStep(1)}}}
	must.True(t, next.cell.AddJob(next.now, j, saved))
	for range int((next.cell.cfg.InheritedRunTimeout + silentRunnerGrace - time.Second) / (100 * time.Millisecond)) {
		next.report(other, Report{Incarnation: 1})
		must.SliceEmpty(t, next.step(100*time.Millisecond))
	}
	next.endRun(run, EndDone)
	next.writeStates()
	must.Eq(t, Completed, j.VisibleState())
}

// Guards against an entry of another writer, at whose address nothing listens, that keeps begun work
// waiting after a takeover, or that is listed for the next one: nothing was ever started there.
func TestEntryWithoutRunnerDelaysNoTakeover(t *testing.T) {
	w := newTestCell(t, 2)
	w.cell.SetQueues([]Queue{plainQueue()})
	w.cell.SetRunner(w.now, RunnerInfo{ID: "odd", Pool: "another", Address: "nowhere:1"})
	w.addJob("0000000000000001", smallStep(1))
	must.Len(t, 1, w.stepUntilStart(time.Second))
	must.Len(t, 2, w.cell.Roster())
	must.True(t, w.cell.StoredRosterCurrent())
	saved, err := ParseSavedJob(w.stored["0000000000000001"])
	must.NoError(t, err)

	next := newTestCell(t, 0)
	next.cell.SetQueues([]Queue{plainQueue()})
	for _, r := range w.cell.sortedRunners {
		next.cell.SetRunner(next.now, r.info)
	}
	next.cell.SetInheritedRoster(w.cell.Roster())
	j := &Job{ID: "0000000000000001", Queue: "q", Pool: "pool", Spec: Spec{Payload: "p", Steps: []Step{smallStep(1)}}}
	must.True(t, next.cell.AddJob(next.now, j, saved))
	next.report("r0", Report{Incarnation: 1})
	must.SliceEmpty(t, next.stepUntilStart(time.Second), must.Sprint("r1 may have a run of the task"))
	next.report("r1", Report{Incarnation: 1})
	must.Len(t, 1, next.stepUntilStart(time.Second))
}

// Guards against decisions that look at every runner, because an entry at which nothing listens claims a
// capacity beside which all others count as nothing.
func TestCapacityOfEntryWithoutRunnerIsNotCounted(t *testing.T) {
	w := newTestCell(t, 2)
	w.cell.SetRunner(w.now, RunnerInfo{ID: "odd", Pool: "pool", Address: "nowhere:1", Capacity: model.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40}})
	w.step(100 * time.Millisecond)
	must.Eq(t, model.Resources{MilliCPU: 4000, MemoryMB: 4000}, w.cell.free.largestCapacity)
	w.addRunners(2, 3)
	w.step(100 * time.Millisecond)
	must.Eq(t, freeLevels, w.cell.runners["r2"].cpuLevel)
}

// Guards against a task that runs twice: its runner restarted unnoticed before the start order arrived,
// took the end of the lease for one on its new clock, and so holds the run for the longest lease.
func TestUnansweredRunIsGivenUpAfterTheLongestLease(t *testing.T) {
	w := newTestCell(t, 2)
	w.cell.cfg.MaxLease = 10 * time.Second
	w.cell.SetQueues([]Queue{plainQueue()})
	w.addJob("0000000000000001", smallStep(2))
	must.SliceEmpty(t, w.step(10*time.Millisecond))
	w.now = w.now.Add(10 * time.Millisecond)
	starts := w.cell.Decide(w.now, w.now).Starts
	must.Len(t, 2, starts)
	answered, unanswered := starts[0].Run, starts[1].Run
	must.Eq(t, answered.Runner, unanswered.Runner)
	w.cell.RenewLease(w.now, answered.Runner)
	w.cell.RecordStartOutcome(w.now, answered, StartOK, "")
	w.cell.RecordStartOutcome(w.now, unanswered, StartUnknown, "")
	orderedAt := w.now
	w.cell.MarkUnreachable(answered.Runner)
	w.cell.UnlistRunner(answered.Runner)
	first := w.stepUntilStart(8 * time.Second)
	must.Len(t, 1, first)
	must.Eq(t, answered.Task, first[0].Run.Task)
	second := w.stepUntilStart(10 * time.Second)
	must.Len(t, 1, second)
	must.GreaterEq(t, w.cell.cfg.MaxLease, w.now.Sub(orderedAt))
}
