package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/sched/model"
)

// world drives a cell by hand: it answers orders and reports as runners would.
type world struct {
	t    *testing.T
	now  time.Time
	cell *Cell
	// approve tells which runners the advisor approves.
	approve map[string]bool
	ends    map[string]int64
	// stored holds the states that were written, refuseWrites keeps them from it.
	stored       map[string][]byte
	refuseWrites bool
}

func newWorld(t *testing.T, runners int) *world {
	w := &world{t: t, now: time.Unix(1000, 0), approve: map[string]bool{}, ends: map[string]int64{}, stored: map[string][]byte{}}
	w.cell = New(w.now, Config{Lease: 6 * time.Second, OrderTimeout: 500 * time.Millisecond, InheritWait: 10 * time.Second, FirstExecution: 1})
	w.join(0, runners)
	return w
}

// join adds the approved runners with the numbers from first to below last.
func (w *world) join(first, last int) {
	for i := first; i < last; i++ {
		id := fmt.Sprintf("r%d", i)
		w.cell.SetRunner(w.now, RunnerInfo{ID: id, Pool: "pool", Capacity: model.Resources{MilliCPU: 4000, MemoryMB: 4000}, Life: 1})
		w.report(id, Report{Life: 1})
		w.approve[id] = true
	}
	w.cell.Recorded(w.cell.Roster())
}

func (w *world) report(id string, rep Report) { w.cell.Report(w.now, w.now, id, rep) }

// end reports the end of a run, beside the runs that go on.
func (w *world) end(run *Run, how EndKind) {
	w.ends[run.Runner]++
	rep := Report{Life: 1, Ended: []EndRow{{Number: w.ends[run.Runner], Task: run.Task, Execution: run.Execution, How: how}}}
	for _, other := range w.cell.runners[run.Runner].runs {
		if other != run {
			rep.Running = append(rep.Running, RunningRow{Task: other.Task, Execution: other.Execution})
		}
	}
	w.report(run.Runner, rep)
}

// step lets time pass, decides, and answers advice and starts.
func (w *world) step(d time.Duration) []Start {
	w.now = w.now.Add(d)
	w.cell.Tick(w.now)
	dec := w.cell.Decide(w.now, w.now)
	for _, call := range dec.Advice {
		var approved []Approval
		for _, id := range call.Runners {
			if w.approve[id] {
				approved = append(approved, Approval{Runner: id, Ticket: "t"})
			}
		}
		w.cell.Advised(w.now, call, w.now, approved, nil)
	}
	for _, s := range dec.Starts {
		w.cell.StartAnswered(w.now, s.Run, StartOK, "")
	}
	w.write()
	return dec.Starts
}

// write stores the changed states.
func (w *world) write() {
	dirty, err := w.cell.TakeDirty(1000)
	must.NoError(w.t, err)
	if w.refuseWrites {
		w.cell.Unsaved(dirty)
		return
	}
	for _, d := range dirty {
		w.stored[d.ID] = d.Value
		w.cell.Saved(d)
	}
}

// until steps until a start comes, for at most limit.
func (w *world) until(limit time.Duration) []Start {
	for range int(limit / (100 * time.Millisecond)) {
		if s := w.step(100 * time.Millisecond); len(s) > 0 {
			return s
		}
	}
	return nil
}

func (w *world) add(id string, steps ...Step) *Job {
	j := &Job{ID: id, Queue: "q", Pool: "pool", Spec: Spec{Payload: "p", Steps: steps}}
	must.True(w.t, w.cell.AddJob(w.now, j, nil))
	return j
}

func advised() Queue {
	return Queue{
		Name: "q", Pool: "pool", MaxAttempts: 3, SlackFactor: 2,
		Advice: &AdvicePolicy{Base: 10 * time.Millisecond, Validity: 2 * time.Second},
	}
}

func small(n int) Step {
	return Step{Count: n, Size: model.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second}
}

// Guards against a task that never starts again because the only runner approved
// for it is the one on which it failed.
func TestFailedTaskStartsAgainOnOnlyApprovedRunner(t *testing.T) {
	w := newWorld(t, 8)
	w.cell.SetQueues([]Queue{advised()})
	w.approve = map[string]bool{"r1": true}
	w.add("0000000000000001", small(1))
	first := w.until(time.Second)
	must.Len(t, 1, first)
	must.Eq(t, "r1", first[0].Run.Runner)
	w.end(first[0].Run, EndFailed)
	second := w.until(10 * time.Second)
	must.Len(t, 1, second)
	must.Greater(t, first[0].Run.Execution, second[0].Run.Execution)
}

// Guards against counting one failed run twice when the next scheduler reads the
// same end again, which would fail the job too early.
func TestFailedEndCountsOnceAcrossSchedulers(t *testing.T) {
	w := newWorld(t, 1)
	w.cell.SetQueues([]Queue{{Name: "q", Pool: "pool", MaxAttempts: 2, SlackFactor: 2}})
	w.add("0000000000000001", small(1))
	run := w.until(time.Second)[0].Run
	w.end(run, EndFailed)
	dirty, err := w.cell.TakeDirty(10)
	must.NoError(t, err)
	must.Len(t, 1, dirty)

	next := newWorld(t, 1)
	next.cell.SetQueues([]Queue{{Name: "q", Pool: "pool", MaxAttempts: 2, SlackFactor: 2}})
	saved, err := ParseSavedJob(dirty[0].Value)
	must.NoError(t, err)
	j := &Job{ID: "0000000000000001", Queue: "q", Pool: "pool", Spec: Spec{Steps: []Step{small(1)}}}
	next.cell.AddJob(next.now, j, saved)
	next.report("r0", Report{Life: 1, Ended: []EndRow{{Number: 1, Task: run.Task, Execution: run.Execution, How: EndFailed}}})
	must.Eq(t, Running, j.State())
}

// Guards against losing count of failed runs whose ends come in another order than
// they happened, which lets a task start more often than allowed.
func TestFailedEndsCountInAnyOrder(t *testing.T) {
	w := newWorld(t, 2)
	w.cell.SetQueues([]Queue{{Name: "q", Pool: "pool", MaxAttempts: 2, SlackFactor: 2}})
	j := w.add("0000000000000001", small(1))
	task := TaskRef{Job: j.ID}
	w.report("r0", Report{Life: 1, Ended: []EndRow{{Number: 1, Task: task, Execution: 2, How: EndFailed}}})
	w.report("r1", Report{Life: 1, Ended: []EndRow{{Number: 1, Task: task, Execution: 1, How: EndFailed}}})
	must.Eq(t, Failed, j.State())
}

// Guards against waiting for leases of an earlier scheduler on a runner that has
// answered this one: it refuses the earlier scheduler from then on.
func TestHeardRunnerLapsesAfterOwnLease(t *testing.T) {
	w := newWorld(t, 2)
	w.cell.SetQueues([]Queue{{Name: "q", Pool: "pool", MaxAttempts: 2, SlackFactor: 2}})
	w.add("0000000000000001", small(1))
	first := w.until(time.Second)
	must.Len(t, 1, first)
	w.cell.Unreachable(first[0].Run.Runner)
	second := w.until(8 * time.Second)
	must.Len(t, 1, second)
	must.NotEq(t, first[0].Run.Runner, second[0].Run.Runner)
}

// Guards against work on a runner that the next scheduler would not know of if the
// runner's entry lapses with the store.
func TestNoStartOnUnrecordedRunner(t *testing.T) {
	w := newWorld(t, 0)
	w.cell.SetRunner(w.now, RunnerInfo{ID: "r0", Pool: "pool", Capacity: model.Resources{MilliCPU: 4000, MemoryMB: 4000}, Life: 1})
	w.report("r0", Report{Life: 1})
	w.cell.SetQueues([]Queue{{Name: "q", Pool: "pool", MaxAttempts: 2, SlackFactor: 2}})
	w.add("0000000000000001", small(1))
	must.SliceEmpty(t, w.until(time.Second))
	must.False(t, w.cell.RosterCurrent())
	w.cell.Recorded(w.cell.Roster())
	must.Len(t, 1, w.until(time.Second))
}

// Guards against a gang that waits for its only two approved runners to be empty at
// once, since few runners were known when it asked, while others stand idle.
func TestGangAsksAgainWhenApprovedRunnersBarelyHoldIt(t *testing.T) {
	w := newWorld(t, 2)
	w.cell.SetQueues([]Queue{advised()})
	blocker := small(1)
	blocker.LongRunning = true
	w.add("0000000000000001", blocker)
	must.Len(t, 1, w.until(time.Second))
	gang := small(8)
	gang.Gang = true
	w.add("0000000000000002", gang)
	must.SliceEmpty(t, w.until(time.Second))
	w.join(2, 8)
	must.Len(t, 8, w.until(5*time.Second))
}

// Guards against a start that the next scheduler would not know of: it takes a group
// without a stored mark for one that has no runs.
func TestNothingStartsBeforeItsMarkIsStored(t *testing.T) {
	w := newWorld(t, 2)
	w.refuseWrites = true
	w.cell.SetQueues([]Queue{{Name: "q", Pool: "pool", MaxAttempts: 2, SlackFactor: 2}})
	w.add("0000000000000001", small(1))
	must.SliceEmpty(t, w.until(time.Second))
	w.refuseWrites = false
	must.Len(t, 1, w.until(time.Second))
}

// Guards against holding up the whole queue after a takeover because one runner does
// not answer: only work that may have begun has to wait for it.
func TestOnlyBegunWorkWaitsForSilentRunner(t *testing.T) {
	old := newWorld(t, 2)
	old.cell.SetQueues([]Queue{{Name: "q", Pool: "pool", MaxAttempts: 2, SlackFactor: 2}})
	begun := old.add("0000000000000001", small(1))
	must.Len(t, 1, old.until(time.Second))

	w := newWorld(t, 2)
	w.cell.SetRunner(w.now, RunnerInfo{ID: "silent", Pool: "pool", Capacity: model.Resources{MilliCPU: 4000, MemoryMB: 4000}, Life: 1})
	w.cell.SetQueues([]Queue{{Name: "q", Pool: "pool", MaxAttempts: 2, SlackFactor: 2}})
	saved, err := ParseSavedJob(old.stored[begun.ID])
	must.NoError(t, err)
	must.True(t, w.cell.AddJob(w.now, &Job{ID: begun.ID, Queue: "q", Pool: "pool", Spec: begun.Spec}, saved))
	w.add("0000000000000002", small(1))
	starts := w.until(time.Second)
	must.Len(t, 1, starts)
	must.Eq(t, "0000000000000002", starts[0].Run.Task.Job)
	must.SliceEmpty(t, w.until(5*time.Second))
	w.report("silent", Report{Life: 1})
	must.Len(t, 1, w.until(time.Second))
}

// Guards against a small step that waits for the one busy runner that it may use,
// since that one could hold it several times over, while others stand idle.
func TestSmallStepAsksAgainWhenItsOnlyRunnerIsBusy(t *testing.T) {
	w := newWorld(t, 1)
	w.cell.SetQueues([]Queue{advised()})
	blocker := small(4)
	blocker.LongRunning = true
	w.add("0000000000000001", blocker)
	must.Len(t, 4, w.until(time.Second))
	w.add("0000000000000002", small(1))
	must.SliceEmpty(t, w.until(time.Second))
	w.join(1, 4)
	must.Len(t, 1, w.until(3*time.Second))
}

// Guards against a step whose approved runners, though several, all stay busy with
// other work while runners that it has not asked about have room.
func TestStepAsksAgainWhenAllItsRunnersStayBusy(t *testing.T) {
	w := newWorld(t, 4)
	w.cell.SetQueues([]Queue{advised()})
	blocker := small(16)
	blocker.LongRunning = true
	w.add("0000000000000001", blocker)
	must.Len(t, 16, w.until(time.Second))
	w.add("0000000000000002", small(1))
	must.SliceEmpty(t, w.until(time.Second))
	w.join(4, 6)
	must.Len(t, 1, w.until(3*time.Second))
}

// Guards against stopping a gang, and losing its work, because a member that has done
// its own share waits for slower members.
func TestGangMemberThatWaitsForOthersIsNotStalled(t *testing.T) {
	w := newWorld(t, 1)
	w.cell.SetQueues([]Queue{{Name: "q", Pool: "pool", MaxAttempts: 2, SlackFactor: 2}})
	gang := small(2)
	gang.Gang = true
	w.add("0000000000000001", gang)
	starts := w.until(time.Second)
	must.Len(t, 2, starts)
	progress := func(first, second float64) {
		w.report("r0", Report{Life: 1, Running: []RunningRow{
			{Task: starts[0].Run.Task, Execution: starts[0].Run.Execution, Percent: first},
			{Task: starts[1].Run.Task, Execution: starts[1].Run.Execution, Percent: second},
		}})
	}
	for i := range 60 {
		progress(100, float64(i))
		w.step(100 * time.Millisecond)
	}
	must.Eq(t, Active, starts[0].Run.Phase)
	// A member that stands still before its end is stopped.
	for range 60 {
		progress(100, 60)
		w.step(100 * time.Millisecond)
	}
	must.Eq(t, Active, starts[0].Run.Phase)
	must.Eq(t, Stopping, starts[1].Run.Phase)
}

// Guards against waiting, after each takeover, for a runner that is long gone but still
// stands in the stored roster.
func TestRosterIsWrittenAgainWhenRunnerIsGone(t *testing.T) {
	w := newWorld(t, 2)
	must.True(t, w.cell.RosterCurrent())
	w.cell.RemoveRunner("r1")
	must.False(t, w.cell.RosterCurrent())
	w.cell.Recorded(w.cell.Roster())
	must.True(t, w.cell.RosterCurrent())

	// A scheduler that finds a stored runner which it has forgotten meanwhile.
	w.cell.Recorded([]RunnerInfo{{ID: "r0"}, {ID: "r1"}})
	must.False(t, w.cell.RosterCurrent())
}

// Guards against two writes of one state at a time, of which the older may win.
func TestStateHasOneWriteUnderWay(t *testing.T) {
	w := newWorld(t, 1)
	w.cell.SetQueues([]Queue{{Name: "q", Pool: "pool", MaxAttempts: 2, SlackFactor: 2}})
	j := w.add("0000000000000001", small(2))
	w.cell.Decide(w.now, w.now)
	first, err := w.cell.TakeDirty(10)
	must.NoError(t, err)
	must.Len(t, 1, first)
	must.True(t, w.cell.Cancel(w.now, j.ID))
	must.False(t, w.cell.HasDirty())
	none, err := w.cell.TakeDirty(10)
	must.NoError(t, err)
	must.SliceEmpty(t, none)
	w.cell.Saved(first[0])
	second, err := w.cell.TakeDirty(10)
	must.NoError(t, err)
	must.Len(t, 1, second)
	must.Eq(t, Cancelled, second[0].State)
}
