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

func (w *world) dropWorker(t *rapid.T) {
	ids := sortedKeys(w.workers)
	if len(ids) < 2 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(t, "worker")
	delete(w.workers, id)
	w.engine.RemoveWorker(w.now, id)
	for _, job := range sortedKeys(w.jobs) {
		for i := range w.jobs[job].Tasks {
			if p, ok := w.running[taskKey{job, i}]; ok && p.Worker == id {
				v := w.engine.Lost(w.now, p.Ref)
				if w.jobs[job].NoRepeat && v != model.VerdictUnknown {
					t.Fatalf("lost attempt of a task that must not be repeated gives %v", v)
				}
				w.settle(t, p, v)
			}
		}
	}
}

// restart replaces the engine by a new one that learns jobs from records and
// attempts from workers.
func (w *world) restart(t *rapid.T, fresh model.Engine) {
	w.engine = fresh
	fresh.SetPolicies(w.now, testPolicies)
	for _, id := range sortedKeys(w.workers) {
		fresh.UpsertWorker(w.now, w.workers[id])
	}
	for _, id := range sortedKeys(w.jobs) {
		j := w.jobs[id]
		j.Done, j.NextAttempt = map[int]bool{}, map[int]int{}
		for i := range j.Tasks {
			k := taskKey{id, i}
			j.Done[i] = w.ended[k]
			j.NextAttempt[i] = w.attempts[k] + 1
		}
		if err := fresh.AddJob(w.now, j); err != nil {
			// Workers were removed since the job was accepted: it cannot run now.
			delete(w.jobs, id)
			for i := range j.Tasks {
				delete(w.running, taskKey{id, i})
			}
			continue
		}
		if w.cancelled[id] {
			fresh.CancelJob(w.now, id)
		}
		for i := range j.Tasks {
			if p, ok := w.running[taskKey{id, i}]; ok && !fresh.Adopt(w.now, p, time.Second) {
				if !w.cancelled[id] {
					t.Fatalf("running attempt %v is not adopted", p.Ref)
				}
				delete(w.running, taskKey{id, i})
			}
		}
	}
}

func (w *world) cancel(t *rapid.T) {
	ids := sortedKeys(w.jobs)
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(t, "job")
	stop := w.engine.CancelJob(w.now, id)
	w.cancelled[id] = true
	n := 0
	for i := range w.jobs[id].Tasks {
		if _, ok := w.running[taskKey{id, i}]; ok {
			n++
		}
	}
	if len(stop) != n {
		t.Fatalf("cancellation of %s stops %d of %d attempts", id, len(stop), n)
	}
}

// drain lets everything finish and checks that no task was forgotten.
func (w *world) drain(t *rapid.T) {
	for i := range 3 {
		w.upsert(model.Worker{ID: fmt.Sprint("z", i), Rack: fmt.Sprint("z", i), Capacity: model.Resources{MilliCPU: 54000, MemoryMB: 72000, Accelerators: 6}})
	}
	for range 400 {
		for {
			p, ok := w.first()
			if !ok {
				break
			}
			w.finish(t, p, model.Succeeded)
		}
		w.now = w.now.Add(30 * time.Second)
		d := w.engine.Decide(w.now, 1000)
		for _, s := range d.Starts {
			w.startChecked(t, s)
		}
		if len(d.Starts) == 0 && w.done() {
			return
		}
	}
	for id, j := range w.jobs {
		x, _ := w.engine.Explain(w.now, id)
		t.Logf("%s %+v: %+v", id, j, x)
	}
	t.Fatalf("tasks never ended")
}

func (w *world) startChecked(t *rapid.T, s model.Start) {
	if _, ok := w.running[key2(s.Ref)]; ok || w.ended[key2(s.Ref)] || w.cancelled[s.Ref.Job] {
		t.Fatalf("start of %v", s.Ref)
	}
	w.attempts[key2(s.Ref)] = s.Ref.Attempt
	w.running[key2(s.Ref)] = s.Placement
	w.engine.Started(w.now, s.Ref)
}

func (w *world) first() (model.Placement, bool) {
	for _, id := range sortedKeys(w.jobs) {
		for i := range w.jobs[id].Tasks {
			if p, ok := w.running[taskKey{id, i}]; ok {
				return p, true
			}
		}
	}
	return model.Placement{}, false
}

func (w *world) done() bool {
	for id, j := range w.jobs {
		for i := range j.Tasks {
			if !w.cancelled[id] && !w.ended[taskKey{id, i}] {
				return false
			}
		}
	}
	return true
}
