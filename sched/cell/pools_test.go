package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/sched/model"
)

const lowJob = "00000000000fffff"

// addRunnersAndLowQueue adds runners with the pool and labels of info, and a less urgent
// queue.
func addRunnersAndLowQueue(t *testing.T, w *testCell, runners int, info RunnerInfo, slack float64, lowPool string) {
	info.Capacity, info.Incarnation = model.Resources{MilliCPU: 4000, MemoryMB: 4000}, 1
	for i := range runners {
		info.ID = fmt.Sprintf("s%d", i)
		w.cell.SetRunner(w.now, info)
		w.report(info.ID, Report{Incarnation: 1})
	}
	w.cell.SetStoredRoster(w.cell.Roster())
	w.cell.SetQueues([]Queue{
		{Name: "q", Pool: "pool", MaxAttempts: 3, SlackFactor: slack},
		{Name: "low", Pool: lowPool, Priority: 1, MaxAttempts: 3, SlackFactor: slack},
	})
}

func addLowJob(t *testing.T, w *testCell, pool string) {
	j := &Job{ID: lowJob, Queue: "low", Pool: pool, Spec: Spec{Steps: []Step{smallStep(1)}}}
	must.True(t, w.cell.AddJob(w.now, j, nil))
}

// timeToLowStart steps for at most a minute and returns the time until the less urgent job
// started; 0 if it did not start.
func timeToLowStart(t *testing.T, w *testCell) time.Duration {
	const step = 100 * time.Millisecond
	for tick := 1; tick <= 600; tick++ {
		for _, s := range w.step(step) {
			if s.Run.Task.Job == lowJob {
				return time.Duration(tick) * step
			}
		}
	}
	return 0
}

// Guards against work that never starts on the idle runners of its own pool because more
// urgent work floods another pool.
func TestFloodOfOnePoolDoesNotBlockAnother(t *testing.T) {
	w := newTestCell(t, 10)
	addRunnersAndLowQueue(t, w, 4, RunnerInfo{Pool: "second"}, 8, "second")
	var running []*Run
	started := 0
	for tick := range 50 {
		for i := range 5 {
			w.addJob(fmt.Sprintf("%016x", 5*tick+i+1), Step{Count: 1, Size: model.Resources{MilliCPU: 2000, MemoryMB: 100}, Estimate: time.Second})
		}
		if tick == 10 {
			addLowJob(t, w, "second")
		}
		for _, s := range w.step(100 * time.Millisecond) {
			if s.Run.Task.Job == lowJob {
				started = tick
			}
			running = append(running, s.Run)
		}
		var left []*Run
		for _, r := range running {
			if w.now.Sub(r.Started) >= time.Second {
				w.endRun(r, EndDone)
			} else {
				left = append(left, r)
			}
		}
		running = left
	}
	t.Logf("less urgent job started in step %d, added in step 10", started)
	must.Greater(t, 0, started)
	must.LessEq(t, 15, started)
}

// Guards against work that waits although the runners of its own pool are idle, after a
// burst of more urgent work for another pool.
func TestBurstOfOnePoolDoesNotDelayAnother(t *testing.T) {
	w := newTestCell(t, 10)
	addRunnersAndLowQueue(t, w, 4, RunnerInfo{Pool: "second"}, 2, "second")
	for i := range 60 {
		w.addJob(fmt.Sprintf("%016x", i+1), Step{Count: 1, Size: model.Resources{MilliCPU: 4000, MemoryMB: 100}, Estimate: 4 * time.Second})
	}
	addLowJob(t, w, "second")
	started := timeToLowStart(t, w)
	t.Logf("less urgent job started after %v", started)
	must.Greater(t, 0, started)
	must.LessEq(t, 500*time.Millisecond, started)
}

// Guards against work that waits for seconds although runners that it may use are idle,
// because more urgent work waits for the few runners with a label.
func TestBurstForLabelledRunnersDoesNotDelayOthers(t *testing.T) {
	w := newTestCell(t, 4)
	addRunnersAndLowQueue(t, w, 10, RunnerInfo{Pool: "pool", Labels: []string{"gpu"}}, 2, "pool")
	for i := range 60 {
		w.addJob(fmt.Sprintf("%016x", i+1), Step{Count: 1, Size: model.Resources{MilliCPU: 4000, MemoryMB: 100}, Estimate: 4 * time.Second, RunnerLabel: "gpu"})
	}
	addLowJob(t, w, "pool")
	started := timeToLowStart(t, w)
	t.Logf("less urgent job started after %v", started)
	must.Greater(t, 0, started)
	must.LessEq(t, 500*time.Millisecond, started)
}

// Guards against ends that are never stored while begin marks and final states keep
// arriving. A runner repeats each end in its reports until the end is stored.
func TestProgressIsStoredDespiteAwaitedStates(t *testing.T) {
	w := newTestCell(t, 2)
	w.cell.SetQueues([]Queue{{Name: "q", Pool: "pool", MaxAttempts: 3, SlackFactor: 2}})
	w.addJob("0000000000000001", smallStep(2))
	first := w.stepUntilStart(time.Second)
	must.SliceLen(t, 2, first)
	w.endRun(first[0].Run, EndDone)
	next := 2
	for range 200 {
		for range 20 {
			w.addJob(fmt.Sprintf("%016x", next), smallStep(1))
			w.cell.Cancel(w.now, fmt.Sprintf("%016x", next))
			next++
		}
		w.now = w.now.Add(40 * time.Millisecond)
		batch, err := w.cell.TakeDirtyBatch(31, func(JobState) int { return 2 })
		must.NoError(t, err)
		for _, d := range batch {
			w.cell.MarkSaved(d)
		}
	}
	_, all := w.cell.StoredEnds(first[0].Run.Runner)
	must.True(t, all)
}

// Guards against quarantining runners because orders to them were withheld while the
// scheduler could not reach the store.
func TestWithheldOrderDoesNotQuarantineRunner(t *testing.T) {
	w := newTestCell(t, 1)
	w.cell.SetQueues([]Queue{{Name: "q", Pool: "pool", MaxAttempts: 3, SlackFactor: 2}})
	w.addJob("0000000000000001", smallStep(1))
	var starts []StartOrder
	for len(starts) == 0 {
		w.now = w.now.Add(100 * time.Millisecond)
		w.cell.Tick(w.now)
		starts = w.cell.Decide(w.now, w.now).Starts
		w.writeStates()
	}
	w.cell.RecordStartOutcome(w.now, starts[0].Run, StartRefused, "gone")
	must.SliceLen(t, 1, w.stepUntilStart(time.Second))
}

// Guards against a gang that is started and stopped without a pause on a VM that is too
// slow to confirm it in time: the orders of each attempt make the VM slower.
func TestGangThatIsConfirmedLateBacksOff(t *testing.T) {
	w := newTestCell(t, 4)
	w.cell.SetQueues([]Queue{{Name: "q", Pool: "pool", MaxAttempts: 3, SlackFactor: 2}})
	gang := smallStep(4)
	gang.Gang = true
	w.addJob("0000000000000001", gang)
	type order struct {
		run *Run
		at  time.Time
	}
	var waiting []order
	attempts := 0
	for range 1200 {
		w.now = w.now.Add(50 * time.Millisecond)
		for id := range w.approved {
			w.cell.RenewLease(w.now, id)
		}
		w.cell.Tick(w.now)
		d := w.cell.Decide(w.now, w.now)
		if len(d.Starts) > 0 {
			attempts++
		}
		for _, s := range d.Starts {
			waiting = append(waiting, order{s.Run, w.now})
		}
		for len(waiting) > 0 && w.now.Sub(waiting[0].at) >= gangAssemblyTimeout+100*time.Millisecond {
			w.cell.RecordStartOutcome(w.now, waiting[0].run, StartOK, "")
			w.endRun(waiting[0].run, EndStopped)
			waiting = waiting[1:]
		}
		w.writeStates()
	}
	t.Logf("gang start attempts in a minute: %d", attempts)
	must.LessEq(t, 12, attempts)
}

// BenchmarkTakeDirtyBatch takes the states of one write out of a backlog of changed states.
func BenchmarkTakeDirtyBatch(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			c := New(now, Config{Lease: 6 * time.Second})
			c.SetQueues([]Queue{{Name: "q", Pool: "pool", MaxAttempts: 3, SlackFactor: 2}})
			for i := range n {
				id := fmt.Sprintf("%016x", i)
				c.AddJob(now, &Job{ID: id, Queue: "q", Pool: "pool", Spec: Spec{Steps: []Step{smallStep(1)}}}, nil)
				c.Cancel(now, id)
			}
			for b.Loop() {
				batch, _ := c.TakeDirtyBatch(31, func(JobState) int { return 2 })
				c.RequeueUnsaved(batch)
			}
		})
	}
}

// Guards against a runner that is filled by the capacity and the labels of its previous incarnation: it
// restarted as another kind, and its report comes before its new entry, or the entry before the report.
func TestRestartedRunnerIsUsedOnlyByItsOwnEntry(t *testing.T) {
	smaller := RunnerInfo{ID: "r0", Pool: "pool", Capacity: model.Resources{MilliCPU: 1000, MemoryMB: 4000}, Incarnation: 2}
	for name, steps := range map[string][]func(w *testCell){
		"report first": {
			func(w *testCell) { w.report("r0", Report{Incarnation: 2}) },
			func(w *testCell) { w.cell.SetRunner(w.now, smaller) },
		},
		"entry first": {
			func(w *testCell) { w.cell.SetRunner(w.now, smaller) },
			func(w *testCell) { w.report("r0", Report{Incarnation: 2}) },
		},
		"clock in an answer first": {
			func(w *testCell) { w.cell.RecordRestart(w.now, "r0") },
			func(w *testCell) {
				w.cell.SetRunner(w.now, smaller)
				w.report("r0", Report{Incarnation: 2})
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestCell(t, 1)
			w.addJob("0000000000000001", smallStep(4))
			w.cell.PauseStarts()
			w.step(100 * time.Millisecond)
			steps[0](w)
			w.cell.SetMaxStarts(MaxStartsPerDecision)
			must.SliceEmpty(t, w.stepUntilStart(time.Second), must.Sprint("started while entry and report are of different incarnations"))
			steps[1](w)
			must.Len(t, 1, w.stepUntilStart(time.Second))
		})
	}
}
