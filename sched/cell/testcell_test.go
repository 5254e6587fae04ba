package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/sched/model"
)

// testCell drives a Cell step by step: it answers orders and reports as runners would.
type testCell struct {
	t    *testing.T
	now  time.Time
	cell *Cell
	// approved holds the runners that the advisor approves.
	approved   map[string]bool
	endNumbers map[string]int64
	// stored holds the written states; failWrites makes all writes fail.
	stored     map[string][]byte
	failWrites bool
}

func newTestCell(t *testing.T, runners int) *testCell {
	w := &testCell{t: t, now: time.Unix(1000, 0), approved: map[string]bool{}, endNumbers: map[string]int64{}, stored: map[string][]byte{}}
	w.cell = New(w.now, Config{Lease: 6 * time.Second, OrderTimeout: 500 * time.Millisecond, InheritedRunTimeout: 10 * time.Second, FirstExecution: 1})
	w.addRunners(0, runners)
	return w
}

// addRunners adds approved runners with the numbers from first to last-1.
func (w *testCell) addRunners(first, last int) {
	for i := first; i < last; i++ {
		id := fmt.Sprintf("r%d", i)
		w.cell.SetRunner(w.now, RunnerInfo{ID: id, Pool: "pool", Capacity: model.Resources{MilliCPU: 4000, MemoryMB: 4000}, Incarnation: 1})
		w.report(id, Report{Incarnation: 1})
		w.approved[id] = true
	}
	w.cell.SetStoredRoster(w.cell.Roster())
}

// report answers the scheduler's call to a runner, and at once the next one if that carries another fence.
func (w *testCell) report(id string, rep Report) {
	for range 2 {
		rep.Fence, _ = w.cell.Token(id)
		w.cell.HandleReport(w.now, w.now, id, rep)
		if _, confirmed := w.cell.Token(id); confirmed {
			return
		}
	}
}

// endRun reports the end of a run, and the other runs of its runner as still active.
func (w *testCell) endRun(run *Run, how EndKind) {
	w.endNumbers[run.Runner]++
	rep := Report{Incarnation: 1, Ended: []ReportedEnd{{Number: w.endNumbers[run.Runner], Task: run.Task, Execution: run.Execution, Kind: how}}}
	for _, other := range w.cell.runners[run.Runner].runs {
		if other != run {
			rep.Running = append(rep.Running, ReportedRun{Task: other.Task, Execution: other.Execution})
		}
	}
	w.report(run.Runner, rep)
}

// step advances the time by d, makes a decision, and answers its advice calls and start
// orders.
func (w *testCell) step(d time.Duration) []StartOrder {
	w.now = w.now.Add(d)
	w.cell.Tick(w.now)
	dec := w.cell.Decide(w.now, w.now)
	for _, call := range dec.Advice {
		var approved []Approval
		for _, id := range call.Runners {
			if w.approved[id] {
				approved = append(approved, Approval{Runner: id, Ticket: "t"})
			}
		}
		w.cell.RecordAdvice(w.now, call, w.now, approved, nil)
	}
	for _, s := range dec.Starts {
		w.cell.RecordStartOutcome(w.now, s.Run, StartOK, "")
	}
	w.writeStates()
	return dec.Starts
}

// writeStates stores the changed states, unless writes fail.
func (w *testCell) writeStates() {
	dirty, err := w.cell.TakeDirty(1000)
	must.NoError(w.t, err)
	if w.failWrites {
		w.cell.RequeueUnsaved(dirty)
		return
	}
	for _, d := range dirty {
		w.stored[d.ID] = d.Value
		w.cell.MarkSaved(d)
	}
}

// stepUntilStart steps until a run starts, for at most limit.
func (w *testCell) stepUntilStart(limit time.Duration) []StartOrder {
	for range int(limit / (100 * time.Millisecond)) {
		if s := w.step(100 * time.Millisecond); len(s) > 0 {
			return s
		}
	}
	return nil
}

func (w *testCell) addJob(id string, steps ...Step) *Job {
	j := &Job{ID: id, Queue: "q", Pool: "pool", Spec: Spec{Payload: "p", Steps: steps}}
	must.True(w.t, w.cell.AddJob(w.now, j, nil))
	return j
}

func advisedQueue() Queue {
	return Queue{
		Name: "q", Pool: "pool", MaxAttempts: 3, SlackFactor: 2,
		Advice: &AdvicePolicy{Base: 10 * time.Millisecond, Validity: 2 * time.Second},
	}
}

func gangStep(n int) Step {
	s := smallStep(n)
	s.Gang = true
	return s
}

func smallStep(n int) Step {
	return Step{Count: n, Size: model.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second}
}
