package engine

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"rhubarbstall.example/sched/model"
)

type taskKey struct {
	job   string
	index int
}

// world is the truth that an engine must agree with.
type world struct {
	now       time.Time
	engine    model.Engine
	workers   map[string]model.Worker
	running   map[taskKey]model.Placement
	jobs      map[string]model.Job
	cancelled map[string]bool
	ended     map[taskKey]bool
	attempts  map[taskKey]int
	serial    int
}

func newWorld(e model.Engine) *world {
	e.SetPolicies(start, testPolicies)
	return &world{
		now: start, engine: e, workers: map[string]model.Worker{}, running: map[taskKey]model.Placement{},
		jobs: map[string]model.Job{}, cancelled: map[string]bool{}, ended: map[taskKey]bool{}, attempts: map[taskKey]int{},
	}
}

var start = time.Unix(1_700_000_000, 0)

func (w *world) addWorker(t *rapid.T) {
	w.serial++
	w.upsert(model.Worker{
		ID: fmt.Sprintf("w%03d", w.serial), Rack: fmt.Sprint("r", w.serial%4),
		Capacity: model.Resources{MilliCPU: 8000, MemoryMB: 16000, Accelerators: rapid.Int64Range(0, 2).Draw(t, "acc")},
	})
}

func (w *world) upsert(x model.Worker) {
	w.workers[x.ID] = x
	w.engine.UpsertWorker(w.now, x)
}

func (w *world) addJob(t *rapid.T) {
	w.serial++
	j := model.Job{
		ID:         fmt.Sprintf("j%03d", w.serial),
		Department: rapid.SampledFrom([]string{"a", "a/x", "b", "c/new"}).Draw(t, "dept"),
		Kind:       rapid.SampledFrom([]string{"urgent", "patient", "drop"}).Draw(t, "kind"),
		Type:       rapid.SampledFrom([]model.JobType{model.Batch, model.Batch, model.Gang, model.Service}).Draw(t, "type"),
		Tasks:      rapid.IntRange(1, 6).Draw(t, "tasks"),
		Size: model.Resources{
			MilliCPU: rapid.Int64Range(100, 9000).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(1, 12000).Draw(t, "mem"),
			Accelerators: rapid.SampledFrom([]int64{0, 0, 1}).Draw(t, "acc"),
		},
		RunTime:       time.Duration(rapid.IntRange(0, 100).Draw(t, "time")) * time.Second,
		Checkpointing: rapid.Bool().Draw(t, "checkpoint"),
		NoRepeat:      rapid.IntRange(0, 3).Draw(t, "norepeat") == 0,
		Submitted:     w.now,
	}
	if w.engine.AddJob(w.now, j) == nil {
		w.jobs[j.ID] = j
	}
}

func (w *world) decide(t *rapid.T) {
	limit := rapid.IntRange(1, 20).Draw(t, "limit")
	d := w.engine.Decide(w.now, limit)
	if len(d.Starts) > limit {
		t.Fatalf("%d starts, limit %d", len(d.Starts), limit)
	}
	for _, s := range d.Starts {
		w.start(t, s)
	}
	for _, c := range d.Controls {
		if c.Action != model.ActionStop && c.Action != model.ActionCheckpoint || rapid.Bool().Draw(t, "lost control") {
			continue
		}
		if p, ok := w.running[key2(c.Ref)]; ok && p.Ref == c.Ref {
			w.finish(t, p, map[model.Action]model.Result{model.ActionStop: model.Stopped, model.ActionCheckpoint: model.Checkpointed}[c.Action])
		}
	}
}

func key2(r model.TaskRef) taskKey { return taskKey{r.Job, r.Index} }

func (w *world) start(t *rapid.T, s model.Start) {
	k := key2(s.Ref)
	j := w.jobs[s.Ref.Job]
	if w.cancelled[s.Ref.Job] || w.ended[k] {
		t.Fatalf("start of an ended or cancelled task %v", s.Ref)
	}
	if p, ok := w.running[k]; ok {
		t.Fatalf("task %v runs already as %v", s.Ref, p)
	}
	if s.Ref.Attempt <= w.attempts[k] {
		t.Fatalf("attempt %v is not above %d", s.Ref, w.attempts[k])
	}
	if j.NoRepeat && w.attempts[k] > 0 {
		t.Fatalf("task %v must not be repeated", s.Ref)
	}
	if !j.Size.Fits(s.Size) {
		t.Fatalf("claim %v below the declared size %v", s.Size, j.Size)
	}
	x, ok := w.workers[s.Worker]
	if !ok || x.State != model.WorkerLive {
		t.Fatalf("start on worker %q that takes no tasks", s.Worker)
	}
	if rapid.IntRange(0, 9).Draw(t, "refuse") == 0 {
		w.engine.Refused(w.now, s.Ref)
		return
	}
	w.attempts[k] = s.Ref.Attempt
	w.running[k] = s.Placement
	w.engine.Started(w.now, s.Ref)
	free := x.Capacity
	for _, p := range w.running {
		if p.Worker == s.Worker {
			free = free.Sub(p.Size)
		}
	}
	if !(model.Resources{}).Fits(free) {
		t.Fatalf("worker %q is overfilled by %v", s.Worker, free)
	}
}

func (w *world) settle(t *rapid.T, p model.Placement, v model.Verdict) {
	k := key2(p.Ref)
	delete(w.running, k)
	switch v {
	case model.VerdictRetry, model.VerdictParked:
		if w.jobs[p.Ref.Job].NoRepeat || w.cancelled[p.Ref.Job] {
			t.Fatalf("retry of %v", p.Ref)
		}
	case model.VerdictIgnored:
		t.Fatalf("attempt %v is unknown to the engine", p.Ref)
	default:
		w.ended[k] = true
	}
}

func (w *world) finish(t *rapid.T, p model.Placement, r model.Result) {
	o := model.Outcome{Ref: p.Ref, Worker: p.Worker, Result: r, PeakUsed: p.Size, RunTime: time.Second}
	w.settle(t, p, w.engine.Finished(w.now, o))
	if w.engine.Finished(w.now, o) != model.VerdictIgnored {
		t.Fatalf("a second outcome of %v counts", p.Ref)
	}
}

// pick returns a running attempt in a reproducible order.
func (w *world) pick(t *rapid.T) (model.Placement, bool) {
	var best []model.Placement
	for _, id := range sortedKeys(w.jobs) {
		for i := range w.jobs[id].Tasks {
			if p, ok := w.running[taskKey{id, i}]; ok {
				best = append(best, p)
			}
		}
	}
	if len(best) == 0 {
		return model.Placement{}, false
	}
	return rapid.SampledFrom(best).Draw(t, "attempt"), true
}
