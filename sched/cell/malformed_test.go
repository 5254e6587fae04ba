package cell

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a stored state that ends the process or loses a task: a group that occurs twice,
// groups and tasks that the job does not have, and bits beyond its tasks.
func TestMalformedStoredStateIsHarmless(t *testing.T) {
	for _, state := range []string{
		`{"state":"running","groups":[{"i":0,"done":"AQ=="},{"i":0,"done":"AQ=="}]}`,
		`{"state":"running","groups":[{"i":0,"all":true},{"i":0,"all":true},{"i":-1},{"i":7,"all":true}]}`,
		`{"state":"running","groups":[{"i":0,"done":"//////8=","fail":{"-3":[1],"99":[2]},"ckpt":{"99":"x"}}]}`,
		`{"state":"running","groups":[{"i":0,"done":"","fail":null}]}`,
	} {
		saved, err := ParseSavedJob([]byte(state))
		must.NoError(t, err)
		w := newTestCell(t, 2)
		w.cell.SetQueues([]Queue{plainQueue()})
		j := &Job{ID: "0000000000000001", Queue: "q", Pool: "pool", Spec: Spec{Payload: "p", Steps: []Step{smallStep(3), {Count: 1, DependsOn: []int{0}, Size: smallStep(1).Size, Estimate: time.Second}}}}
		must.True(t, w.cell.AddJob(w.now, j, saved), must.Sprint(state))
		for range 60 {
			w.cell.inheritedRunsKnown = true
			for _, st := range w.step(100 * time.Millisecond) {
				w.endRun(st.Run, EndDone)
			}
		}
		must.Eq(t, Completed, j.State(), must.Sprint(state))
	}
}

// Guards against a report that ends the process: rows of unknown jobs, steps, tasks and executions,
// rows that occur twice, and ends in any order.
func TestMalformedReportIsHarmless(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	w := newTestCell(t, 3)
	w.cell.SetQueues([]Queue{plainQueue()})
	gang := smallStep(3)
	gang.Gang = true
	for i := range 4 {
		w.addJob(fmt.Sprintf("%016x", i+1), smallStep(2), gang)
	}
	number := func() int { return []int{0, 1, 2, 3, 1 << 20}[random.IntN(5)] }
	task := func() TaskRef {
		return TaskRef{Job: fmt.Sprintf("%016x", random.IntN(6)), Occurrence: number(), Step: number(), Index: number()}
	}
	for range 3000 {
		rep := Report{Incarnation: 1 + int64(random.IntN(20)/19)}
		for range random.IntN(4) {
			rep.Running = append(rep.Running, ReportedRun{Task: task(), Execution: int64(number()) - 1, Percent: float64(number())})
			rep.Ended = append(rep.Ended, ReportedEnd{Number: int64(number()), Task: task(), Execution: int64(number()), Kind: []EndKind{EndDone, EndFailed, EndStopped, "?"}[random.IntN(4)]})
		}
		w.report(fmt.Sprintf("r%d", random.IntN(4)), rep)
		w.step(20 * time.Millisecond)
		w.cell.TakeStops()
	}
	data, err := json.Marshal(w.cell.Roster())
	must.NoError(t, err)
	must.NotEq(t, "", string(data))
}

// Guards against a server that had left and is in use again after a restart of the scheduler: the
// stored roster still names it, so that its runs are awaited, but it gets no new work.
func TestRunnerOfRosterWithoutEntryGetsNoWork(t *testing.T) {
	w := newTestCell(t, 0)
	w.cell.SetQueues([]Queue{plainQueue()})
	info := RunnerInfo{ID: "left", Pool: "pool", Capacity: smallStep(1).Size, Incarnation: 1}
	w.cell.SetRunner(w.now, info)
	w.cell.UnlistRunner(info.ID)
	w.cell.SetStoredRoster([]RunnerInfo{info})
	w.report(info.ID, Report{Incarnation: 1})
	w.addJob("0000000000000001", smallStep(1))
	must.SliceEmpty(t, w.stepUntilStart(30*time.Second))
	w.addRunners(0, 1)
	started := w.stepUntilStart(5 * time.Second)
	must.Len(t, 1, started)
	must.Eq(t, "r0", started[0].Run.Runner)
}
