package engine

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"rhubarbstall.example/sched/model"
)

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
