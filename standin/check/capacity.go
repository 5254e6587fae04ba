package check

import (
	"rhubarbstall.example/standin/history"
	"rhubarbstall.example/wire/worker"
)

// checkCapacity adds up the sizes of the tasks that run on each worker and reports
// starts that exceed the capacity of the worker. It also reports a start that the
// worker refused for lack of capacity: this refusal is the last safeguard, and the
// scheduler must not rely on it.
func (r *Report) checkCapacity(events []history.Event) {
	capacity := make(map[place]worker.Size)
	used := make(map[place]worker.Size)
	for _, e := range events {
		p := place{e.Node, e.Instance}
		switch e.Type {
		case history.ProcessStarted:
			if e.Capacity != nil {
				capacity[p] = *e.Capacity
			}
		case history.TaskStarted:
			used[p] = add(used[p], *e.Size, 1)
			if c, ok := capacity[p]; ok && !fits(used[p], c) {
				r.add(Overfill, e.At, "worker %s has %+v in use of capacity %+v after the start of task %+v", e.Node, used[p], c, *e.Ref)
			}
		case history.TaskEnded:
			used[p] = add(used[p], *e.Size, -1)
		case history.OverfillAttempted:
			r.add(Overfill, e.At, "worker %s refused task %+v of size %+v for lack of capacity", e.Node, *e.Ref, *e.Size)
		}
	}
}

// checkSlots reports requests that reached a runner without a free slot, and
// connections above the limit of a runner. A refusal is allowed while the runner
// still executes a request that its sender has abandoned, since the sender can't
// know that the slot is still in use.
func (r *Report) checkSlots(events []history.Event) {
	abandoned := make(map[string]map[string]bool)
	for _, e := range events {
		switch e.Type {
		case history.RunAbandoned:
			if abandoned[e.Node] == nil {
				abandoned[e.Node] = make(map[string]bool)
			}
			abandoned[e.Node][e.RequestID] = true
		case history.RunEnded:
			delete(abandoned[e.Node], e.RequestID)
		case history.RunRefused:
			if e.Reason == history.ReasonFull && len(abandoned[e.Node]) == 0 {
				r.add(Overfill, e.At, "runner %s had no free slot for request %s", e.Node, e.RequestID)
			}
		case history.ConnectionsOverrun:
			r.add(Overfill, e.At, "runner %s was sent more connections than it accepts", e.Node)
		}
	}
}

func add(a, b worker.Size, sign int64) worker.Size {
	return worker.Size{
		MilliCPU:     a.MilliCPU + sign*b.MilliCPU,
		MemoryMB:     a.MemoryMB + sign*b.MemoryMB,
		Accelerators: a.Accelerators + sign*b.Accelerators,
	}
}

func fits(used, capacity worker.Size) bool {
	return used.MilliCPU <= capacity.MilliCPU && used.MemoryMB <= capacity.MemoryMB &&
		used.Accelerators <= capacity.Accelerators
}
