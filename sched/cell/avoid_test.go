package cell

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/sched/model"
)

// restartAfterFailure fails a run, and returns the next starts and after how long they came.
func (w *testCell) restartAfterFailure(run *Run) ([]StartOrder, time.Duration) {
	w.endRun(run, EndFailed)
	failedAt := w.now
	starts := w.stepUntilStart(3 * maxIdleTime)
	return starts, w.now.Sub(failedAt)
}

// Guards against a task that is never started again because the only runner that may run it failed it
// once, with attempts left: by its label, its size, the advisor's answer or its pool. The attempts are
// spread over time, so that a runner that fails everything for a moment does not use them up.
func TestTaskStartsAgainOnItsOnlyRunner(t *testing.T) {
	for name, prepare := range map[string]func(w *testCell, s *Step){
		"label": func(w *testCell, s *Step) {
			w.cell.runners["r4"].info.Labels = []string{"b"}
			s.RunnerLabel = "b"
		},
		"size": func(w *testCell, s *Step) {
			w.cell.runners["r4"].info.Capacity = model.Resources{MilliCPU: 8000, MemoryMB: 8000}
			s.Size.MilliCPU = 6000
		},
		"advice": func(w *testCell, _ *Step) {
			w.cell.SetQueues([]Queue{advisedQueue()})
			w.approved = map[string]bool{"r4": true}
		},
		"lasts": func(w *testCell, s *Step) {
			w.cell.runners["r4"].info.Labels = []string{"b"}
			s.RunnerLabel, s.LongRunning = "b", true
		},
		"gang": func(w *testCell, s *Step) {
			w.cell.runners["r4"].info.Labels = []string{"b"}
			s.RunnerLabel, s.Gang = "b", true
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestCell(t, 12)
			s := smallStep(1)
			prepare(w, &s)
			j := w.addJob("0000000000000001", s)
			starts := w.stepUntilStart(time.Second)
			must.Len(t, 1, starts)
			for range 2 {
				var after time.Duration
				starts, after = w.restartAfterFailure(starts[0].Run)
				must.Len(t, 1, starts)
				must.Eq(t, "r4", starts[0].Run.Runner)
				must.Between(t, time.Second, after, maxIdleTime-100*time.Millisecond)
			}
			must.False(t, j.state.Final())
		})
	}
}

// Guards against a gang that waits for ever because too few runners remain besides those on which its
// members failed.
func TestGangStartsAgainOnAllRunnersThatMayRunIt(t *testing.T) {
	w := newTestCell(t, 12)
	w.cell.runners["r4"].info.Labels, w.cell.runners["r7"].info.Labels = []string{"b"}, []string{"b"}
	s := smallStep(2)
	s.Gang, s.RunnerLabel, s.Size.MilliCPU = true, "b", 3000
	w.addJob("0000000000000001", s)
	starts := w.stepUntilStart(time.Second)
	must.Len(t, 2, starts)
	w.endRun(starts[0].Run, EndFailed)
	w.endRun(starts[1].Run, EndGangBroken)
	failedAt := w.now
	must.Len(t, 2, w.stepUntilStart(3*maxIdleTime))
	must.LessEq(t, maxIdleTime, w.now.Sub(failedAt))
}

// Guards against a task that waits beside a free runner on which it failed while all others are
// occupied by tasks that last.
func TestTaskStartsWhereItFailedIfOthersStayFull(t *testing.T) {
	w := newTestCell(t, 12)
	w.addJob("0000000000000001", smallStep(1))
	starts := w.stepUntilStart(time.Second)
	must.Len(t, 1, starts)
	failed := starts[0].Run.Runner
	blocker := smallStep(11)
	blocker.Size.MilliCPU, blocker.LongRunning, blocker.MaxPerRunner = 4000, true, 1
	w.addJob("0000000000000002", blocker)
	must.Len(t, 11, w.stepUntilStart(time.Second))
	again, after := w.restartAfterFailure(starts[0].Run)
	must.Len(t, 1, again)
	must.Eq(t, failed, again[0].Run.Runner)
	must.LessEq(t, maxIdleTime, after)
}

// Guards against a task that returns to a runner that fails it while another one has capacity.
func TestTaskPrefersRunnersThatDidNotFailIt(t *testing.T) {
	for _, wait := range []time.Duration{0, 2 * maxIdleTime} {
		w := newTestCell(t, 2)
		w.addJob("0000000000000001", smallStep(1))
		starts := w.stepUntilStart(time.Second)
		must.Len(t, 1, starts)
		failed := starts[0].Run.Runner
		w.cell.PauseStarts()
		w.endRun(starts[0].Run, EndFailed)
		w.now = w.now.Add(wait)
		w.report("r0", Report{Incarnation: 1})
		w.report("r1", Report{Incarnation: 1})
		w.cell.SetMaxStarts(MaxStartsPerDecision)
		again := w.stepUntilStart(time.Second)
		must.Len(t, 1, again)
		must.NotEq(t, failed, again[0].Run.Runner)
	}
}
