package baseline

import "rhubarbstall.example/sched/model"

// worker is a VM with the resources reserved on it.
type worker struct {
	model.Worker
	reserved model.Resources
	running  int
	// registered is false while the engine does not know the worker: before the first
	// UpsertWorker, and after RemoveWorker while attempts are still recorded.
	registered bool
}

func (w *worker) canHold(size model.Resources) bool {
	return w.registered && w.State == model.WorkerLive && size.Fits(w.Capacity.Sub(w.reserved))
}

func (w *worker) add(size model.Resources) {
	w.reserved = w.reserved.Add(size)
	w.running++
}

func (w *worker) release(size model.Resources) {
	w.reserved = w.reserved.Sub(size)
	w.running--
}
