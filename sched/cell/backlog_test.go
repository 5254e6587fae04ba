package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/sched/model"
)

// Guards against decisions whose cost grows with the backlog, so that the scheduler cannot
// keep up during a burst. Load: 350 runners, three quarters full, steps of 20 tasks that
// wait for capacity, and one short job that arrives and ends. Baseline: the same cell with
// a tenth of the steps.
func TestDecisionCostDoesNotGrowWithBacklog(t *testing.T) {
	cost := func(backlog int) float64 {
		w := newBenchCell(t, 350, backlog)
		for range 3000 {
			// All advice calls are answered and no rank changes any more before the count
			// begins.
			w.decide(t)
		}
		return testing.AllocsPerRun(200, func() {
			w.submit(t, 1, 8000)
			w.decide(t)
			w.decide(t)
			w.endOldest()
			w.removeEndedJobs()
		})
	}
	few, many := cost(300), cost(3000)
	t.Logf("allocations per job with 300 waiting steps: %.0f, with 3,000: %.0f", few, many)
	must.LessEq(t, 2*few, many)
}

// Guards against work behind a long backlog that no decision visits: a step that fits
// starts although thousands of steps before it find no capacity.
func TestGroupBehindLongBacklogUsesFreeCapacity(t *testing.T) {
	w := newTestCell(t, 1)
	w.cell.SetQueues([]Queue{
		{Name: "q", Pool: "pool", MaxAttempts: 3, SlackFactor: 2},
		{Name: "last", Pool: "pool", Priority: 2, MaxAttempts: 3, SlackFactor: 2},
	})
	blocker := smallStep(1)
	blocker.LongRunning = true
	w.addJob("0000000000000001", blocker)
	blocked := w.stepUntilStart(time.Second)
	must.Len(t, 1, blocked)
	for i := range 3000 {
		w.addJob(fmt.Sprintf("%016x", i+2), Step{Count: 1, Size: model.Resources{MilliCPU: 4000, MemoryMB: 100}, Estimate: time.Second})
	}
	j := &Job{ID: "00000000000fffff", Queue: "last", Pool: "pool", Spec: Spec{Steps: []Step{smallStep(1)}}}
	must.True(t, w.cell.AddJob(w.now, j, nil))
	var starts []StartOrder
	for range 100 {
		// The blocker stays active all the time.
		w.report("r0", Report{Incarnation: 1, Running: []ReportedRun{{Task: blocked[0].Run.Task, Execution: blocked[0].Run.Execution, Percent: 100}}})
		if starts = w.step(100 * time.Millisecond); len(starts) > 0 {
			break
		}
	}
	must.Len(t, 1, starts)
	must.Eq(t, j.ID, starts[0].Run.Task.Job)
}

// Guards against steps that may not start yet, for example because of a due time or a
// runner that has not reported, and that keep decisions from visiting the steps behind
// them.
func TestStepsThatMayNotStartDoNotBlockOthers(t *testing.T) {
	w := newTestCell(t, 2)
	w.cell.SetQueues([]Queue{
		{Name: "q", Pool: "pool", MaxAttempts: 3, SlackFactor: 2},
		{Name: "last", Pool: "pool", Priority: 2, MaxAttempts: 3, SlackFactor: 2},
	})
	w.cell.SetRunner(w.now, RunnerInfo{ID: "silent", Pool: "pool", Capacity: model.Resources{MilliCPU: 4000, MemoryMB: 4000}, Incarnation: 1})
	timed := &Job{ID: "0000000000000001", Queue: "q", Pool: "pool", Spec: Spec{
		Steps: []Step{smallStep(1)}, Repetitions: 1000, FirstRun: w.now.Add(5 * time.Second), Interval: time.Minute,
	}}
	must.True(t, w.cell.AddJob(w.now, timed, nil))
	for i := range 1000 {
		j := &Job{ID: fmt.Sprintf("%016x", i+2), Queue: "q", Pool: "pool", Spec: Spec{Steps: []Step{smallStep(1)}}}
		saved := &SavedJob{State: Running, Groups: []SavedGroup{{Begun: true}}}
		must.True(t, w.cell.AddJob(w.now, j, saved))
	}
	last := &Job{ID: "00000000000fffff", Queue: "last", Pool: "pool", Spec: Spec{Steps: []Step{smallStep(1)}}}
	must.True(t, w.cell.AddJob(w.now, last, nil))
	starts := w.stepUntilStart(200 * time.Millisecond)
	must.Len(t, 1, starts)
	must.Eq(t, last.ID, starts[0].Run.Task.Job)
	// Once all runners have reported and the due time has come, the other steps start.
	w.report("silent", Report{Incarnation: 1})
	for _, s := range starts {
		w.endRun(s.Run, EndDone)
	}
	byJob := make(map[string]int)
	for range 60 {
		for _, s := range w.step(100 * time.Millisecond) {
			byJob[s.Run.Task.Job]++
			w.endRun(s.Run, EndDone)
		}
		for _, id := range []string{"r0", "r1", "silent"} {
			w.cell.RenewLease(w.now, id)
		}
	}
	must.Positive(t, byJob[timed.ID])
}

// Guards against steps that fit no runner and keep the steps behind them from being marked
// as begun and from asking the advisor.
func TestStepsThatFitNoRunnerDoNotBlockOthers(t *testing.T) {
	w := newTestCell(t, 2)
	w.cell.SetQueues([]Queue{advisedQueue()})
	for i := range 100 {
		w.addJob(fmt.Sprintf("%016x", i+1), Step{Count: 20, Size: smallStep(1).Size, RunnerLabel: "none", Estimate: time.Second})
	}
	w.addJob("00000000000fffff", Step{Count: 1, Size: smallStep(1).Size, Estimate: 3 * time.Second})
	starts := w.stepUntilStart(500 * time.Millisecond)
	must.Len(t, 1, starts)
	must.Eq(t, "00000000000fffff", starts[0].Run.Task.Job)
}
