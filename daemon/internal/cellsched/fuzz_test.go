package cellsched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
	"rhubarbstall.example/sched/model"
)

const (
	// fuzzDecisionTime bounds what a few decisions about one job of outside may take.
	fuzzDecisionTime = 2 * time.Second
	fuzzJob          = "00000000000000aa"
)

// newFuzzCell returns a cell with a queue and two runners that have reported.
func newFuzzCell(now time.Time) *cell.Cell {
	c := cell.New(now, cell.Config{Lease: 5 * time.Second, MaxLease: 6 * time.Second, OrderTimeout: orderTimeout, FirstExecution: 1, RemoteFactor: 2})
	c.SetQueues([]cell.Queue{{Name: "q", Pool: simPool, MaxAttempts: 3, SlackFactor: 2}})
	for _, id := range []string{"r0", "r1"} {
		c.SetRunner(now, cell.RunnerInfo{
			ID: id, Address: id + ":80", Pool: simPool, Capacity: model.Resources{MilliCPU: 4000, MemoryMB: 4000, Accelerators: 1}, Incarnation: 1,
		})
		c.HandleReport(now, now, id, cell.Report{Incarnation: 1})
	}
	c.SetStoredRoster(c.Roster())
	return c
}

// decideOften lets a cell decide a few times, half a second apart, and confirms all starts.
func decideOften(c *cell.Cell, now time.Time) {
	for range 4 {
		now = now.Add(500 * time.Millisecond)
		c.Tick(now)
		for _, st := range c.Decide(now, now).Starts {
			c.RecordStartOutcome(now, st.Run, cell.StartOK, "")
		}
		c.TakeEvents()
		if dirty, err := c.TakeDirty(10); err == nil {
			for _, d := range dirty {
				c.MarkSaved(d)
			}
		}
		c.Stats(now, now)
	}
}

// addFuzzJob adds a job with a spec and decides about it in a bounded time.
func addFuzzJob(t *testing.T, spec *cell.Spec, saved *cell.SavedJob) *cell.Cell {
	begin := time.Now()
	c := newFuzzCell(begin)
	c.AddJob(begin, &cell.Job{ID: fuzzJob, Queue: "q", Pool: simPool, Spec: *spec}, saved)
	decideOften(c, begin)
	must.Less(t, fuzzDecisionTime, time.Since(begin))
	return c
}

// Guards against a job of a client that lets the scheduler panic, or takes its time for itself.
func FuzzSubmittedJob(f *testing.F) {
	for _, seed := range []string{
		`{"specification":"x","steps":[{"count":4,"cpu":500,"requested_memory_mb":256,"estimated_ms":900},{"count":2,"cpu":500,"after":[0],"checkpointing":true}]}`,
		`{"specification":"x","steps":[{"count":3,"cpu":100,"gang_scheduled":true,"same_rack":true}]}`,
		`{"specification":"x","steps":[{"count":3,"cpu":100,"long_running":true,"miss_allowance":1,"target_ms":5,"anti_affinity":1}]}`,
		`{"specification":"x","steps":[{"count":1,"gpus":1,"requirements":"a","affinity":"b","speculative":true}],"repetitions":3,"first_run_ms":1,"interval_ms":1}`,
		`{"specification":"x","steps":[{"count":1,"cpu":100}],"repetitions":9223372036854775807,"first_run_ms":-9223372036854775808,"interval_ms":1}`,
		`{"specification":"x","steps":[{"count":9223372036854775807,"cpu":9223372036854775807,"estimated_ms":9223372036854775807}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		spec, err := platform.DecodeJob(body)
		if err != nil {
			return
		}
		addFuzzJob(t, spec, nil)
	})
}

// Guards against a stored job or state that lets the next scheduler panic.
func FuzzStoredJob(f *testing.F) {
	const job = `{"queue":"q","pool":"pool"}` + "\n" + `{"specification":"x","steps":[{"count":2,"cpu":500}]}`
	f.Add([]byte(job), []byte(`{}`))
	f.Add([]byte(job), []byte(`{"state":"completed"}`))
	c := newFuzzCell(time.Now())
	if j, err := DecodeJob(fuzzJob, []byte(job)); err == nil {
		c.AddJob(time.Now(), j, nil)
		decideOften(c, time.Now())
		c.Cancel(time.Now(), fuzzJob)
		if dirty, err := c.TakeDirty(1); err == nil && len(dirty) > 0 {
			f.Add([]byte(job), dirty[0].Value)
		}
	}
	f.Fuzz(func(t *testing.T, job, state []byte) {
		if _, err := decodeHeader(fuzzJob, job); err != nil {
			return
		}
		j, err := DecodeJob(fuzzJob, job)
		if err != nil {
			return
		}
		saved, err := cell.ParseSavedJob(state)
		if err != nil {
			saved = nil
		}
		addFuzzJob(t, &j.Spec, saved).Cancel(time.Now(), fuzzJob)
	})
}

// Guards against an entry of another writer that lets the scheduler panic or place work that it can't hold.
func FuzzRunnerEntry(f *testing.F) {
	f.Add([]byte(`{"service":"pool","address":"127.0.0.1:1","zone":"z","state":"ready","labels":["a","r1"],"capacity":{"cpu":8000,"requested_memory_mb":8000,"gpus":1},"born":5}`))
	f.Add([]byte(`{"service":"pool","address":"127.0.0.1:1","state":"draining","remaining_ms":5,"capacity":{"cpu":9223372036854775807}}`))
	f.Fuzz(func(t *testing.T, entry []byte) {
		info, err := platform.DecodeRunner(platform.Item{Key: platform.RunnerPrefix + "odd", Value: entry})
		if err != nil {
			return
		}
		now := time.Now()
		c := newFuzzCell(now)
		c.SetRunner(now, info)
		c.HandleReport(now, now, info.ID, cell.Report{Incarnation: info.Incarnation})
		c.AddJob(now, &cell.Job{ID: fuzzJob, Queue: "q", Pool: simPool, Spec: cell.Spec{
			Payload: "x", Steps: []cell.Step{{Count: 3, Size: model.Resources{MilliCPU: 100, MemoryMB: 10}, Estimate: time.Second, Gang: true, SameRack: true}},
		}}, nil)
		decideOften(c, now)
	})
}

// Guards against a report of a runner that lets the scheduler panic, whatever runs and ends it lists.
func FuzzRunnerReport(f *testing.F) {
	f.Add(int64(1), int64(1), int64(1), fuzzJob+".0.0.0", "done", "", 41.0)
	f.Add(int64(2), int64(9223372036854775807), int64(-1), fuzzJob+".0.0.9223372036854775807", "alone", "x", -1e300)
	f.Add(int64(1), int64(1), int64(1), fuzzJob+".9223372036854775807.0.1", "failed", "x", 100.0)
	f.Fuzz(func(_ *testing.T, incarnation, execution, number int64, task, kind, checkpoint string, percent float64) {
		ref, err := cell.ParseTaskRef(task)
		if err != nil {
			return
		}
		now := time.Now()
		c := newFuzzCell(now)
		c.AddJob(now, &cell.Job{ID: fuzzJob, Queue: "q", Pool: simPool, Spec: cell.Spec{
			Payload: "x", Steps: []cell.Step{
				{Count: 2, Size: model.Resources{MilliCPU: 100, MemoryMB: 10}, Estimate: time.Second, Checkpointing: true},
				{Count: 1, Size: model.Resources{MilliCPU: 100, MemoryMB: 10}, Estimate: time.Second, DependsOn: []int{0}},
			},
		}}, nil)
		decideOften(c, now)
		for _, id := range []string{"r0", "r1"} {
			c.HandleReport(now, now, id, cell.Report{
				Incarnation: incarnation,
				Running:     []cell.ReportedRun{{Task: ref, Execution: execution, Checkpoint: checkpoint, Percent: percent, Gauge: percent}},
				Ended:       []cell.ReportedEnd{{Number: number, Task: ref, Execution: execution, Kind: cell.EndKind(kind), Checkpoint: checkpoint}},
			})
		}
		decideOften(c, now)
	})
}
