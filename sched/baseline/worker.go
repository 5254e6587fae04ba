package baseline

import "rhubarbstall.example/sched/model"

// worker is a VM with what is reserved on it.
type worker struct {
	model.Worker
	reserved model.Resources
	running  int
	// known is false after removal while attempts are still recorded.
	known bool
}

func (w *worker) takes(size model.Resources) bool {
	return w.known && w.State == model.WorkerLive && size.Fits(w.Capacity.Sub(w.reserved))
}

func (w *worker) add(size model.Resources) {
	w.reserved = w.reserved.Add(size)
	w.running++
}

func (w *worker) release(size model.Resources) {
	w.reserved = w.reserved.Sub(size)
	w.running--
}
