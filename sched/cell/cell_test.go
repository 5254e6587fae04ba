package cell

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/sched/model"
)

// Guards against a task that never starts again because the only runner approved for it is
// the one on which it failed.
func TestFailedTaskStartsAgainOnOnlyApprovedRunner(t *testing.T) {
	w := newTestCell(t, 8)
	w.cell.SetQueues([]Queue{advisedQueue()})
	w.approved = map[string]bool{"r1": true}
	w.addJob("0000000000000001", smallStep(1))
	first := w.stepUntilStart(time.Second)
	must.Len(t, 1, first)
	must.Eq(t, "r1", first[0].Run.Runner)
	w.endRun(first[0].Run, EndFailed)
	second := w.stepUntilStart(10 * time.Second)
	must.Len(t, 1, second)
	must.Greater(t, first[0].Run.Execution, second[0].Run.Execution)
}

// Guards against miscounting failed executions whose ends are reported out of order, which
// would let a task start more often than allowed.
func TestFailedEndsCountInAnyOrder(t *testing.T) {
	w := newTestCell(t, 2)
	w.cell.SetQueues([]Queue{{Name: "q", Pool: "pool", MaxAttempts: 2, SlackFactor: 2}})
	j := w.addJob("0000000000000001", smallStep(1))
	task := TaskRef{Job: j.ID}
	w.report("r0", Report{Incarnation: 1, Ended: []ReportedEnd{{Number: 1, Task: task, Execution: 2, Kind: EndFailed}}})
	w.report("r1", Report{Incarnation: 1, Ended: []ReportedEnd{{Number: 1, Task: task, Execution: 1, Kind: EndFailed}}})
	must.Eq(t, Failed, j.State())
}

// Guards against waiting for leases of an earlier scheduler on a runner that has reported
// to this one: since then it has refused the orders of the earlier scheduler.
func TestRunsOfReportedRunnerExpireAfterOwnLease(t *testing.T) {
	w := newTestCell(t, 2)
	w.cell.SetQueues([]Queue{{Name: "q", Pool: "pool", MaxAttempts: 2, SlackFactor: 2}})
	w.addJob("0000000000000001", smallStep(1))
	first := w.stepUntilStart(time.Second)
	must.Len(t, 1, first)
	w.cell.MarkUnreachable(first[0].Run.Runner)
	w.cell.UnlistRunner(first[0].Run.Runner)
	second := w.stepUntilStart(8 * time.Second)
	must.Len(t, 1, second)
	must.NotEq(t, first[0].Run.Runner, second[0].Run.Runner)
}

// Guards against runs on a runner that the next scheduler would not know of if the runner's
// entry expired.
func TestNoStartOnRunnerMissingFromStoredRoster(t *testing.T) {
	w := newTestCell(t, 0)
	w.cell.SetRunner(w.now, RunnerInfo{ID: "r0", Pool: "pool", Capacity: model.Resources{MilliCPU: 4000, MemoryMB: 4000}, Incarnation: 1})
	w.report("r0", Report{Incarnation: 1})
	w.cell.SetQueues([]Queue{{Name: "q", Pool: "pool", MaxAttempts: 2, SlackFactor: 2}})
	w.addJob("0000000000000001", smallStep(1))
	must.SliceEmpty(t, w.stepUntilStart(time.Second))
	must.False(t, w.cell.StoredRosterCurrent())
	w.cell.SetStoredRoster(w.cell.Roster())
	must.Len(t, 1, w.stepUntilStart(time.Second))
}

// Guards against a stored roster that still lists a removed runner, so that each new
// scheduler waits for that runner's report.
func TestStoredRosterIsOutdatedAfterRunnerIsRemoved(t *testing.T) {
	w := newTestCell(t, 2)
	must.True(t, w.cell.StoredRosterCurrent())
	w.cell.RemoveRunner("r1")
	must.False(t, w.cell.StoredRosterCurrent())
	w.cell.SetStoredRoster(w.cell.Roster())
	must.True(t, w.cell.StoredRosterCurrent())

	// The store still lists a runner that the cell has removed in the meantime.
	w.cell.SetStoredRoster([]RunnerInfo{{ID: "r0"}, {ID: "r1"}})
	must.False(t, w.cell.StoredRosterCurrent())
}
