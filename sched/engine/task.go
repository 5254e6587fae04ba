package engine

import (
	"time"

	"rhubarbstall.example/sched/framework"
	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
)

// describeTask returns the description of the tasks of a job for the plugins,
// without size and run time.
func (e *Engine) describeTask(j *ledger.Job) framework.Task {
	st := stateOf(j)
	return framework.Task{
		Now:         e.lastNow,
		Job:         j,
		Policy:      st.queue.Policy,
		Urgent:      st.queue.urgent(),
		TasksByRack: st.tasksByRack,
	}
}

// nextTask describes the next task of a job with the size to allocate and the
// estimated run time.
func (e *Engine) nextTask(j *ledger.Job) framework.Task {
	t := e.describeTask(j)
	st := stateOf(j)
	kind := e.estimates.Kind(j.Kind)
	t.Size = e.requestSize(j, kind.Size(j.Size, st.peakUsed))
	t.RunTime, t.UpperRunTime = e.estimateRunTime(j)
	t.BelowFloor = st.queue.order.floorFill < 1
	return t
}

// requestSize returns the learned size if some worker has that capacity. Otherwise
// it caps the learned size at the capacity of the worker that allows the most: a
// corrected estimate must not make a job unschedulable.
func (e *Engine) requestSize(j *ledger.Job, learned model.Resources) model.Resources {
	if learned == j.Size {
		return learned
	}
	best := j.Size
	for _, n := range e.cache.Nodes() {
		if !n.Registered {
			continue
		}
		if learned.Fits(n.Capacity) {
			return learned
		}
		if j.Size.Fits(n.Capacity) {
			part := model.Resources{
				MilliCPU:     min(learned.MilliCPU, n.Capacity.MilliCPU),
				MemoryMB:     min(learned.MemoryMB, n.Capacity.MemoryMB),
				Accelerators: min(learned.Accelerators, n.Capacity.Accelerators),
			}
			if part.MemoryMB > best.MemoryMB || part.MemoryMB == best.MemoryMB && part.MilliCPU > best.MilliCPU {
				best = part
			}
		}
	}
	return best
}

// estimateRunTime returns the typical run time of a task of the job and an upper
// estimate, both zero if they are unknown or if the task runs until stopped.
func (e *Engine) estimateRunTime(j *ledger.Job) (typical, upper time.Duration) {
	if j.Type == model.Service && j.RunTime == 0 {
		return 0, 0
	}
	if typical, upper, ok := stateOf(j).runTimes.RunTime(); ok {
		return typical, upper
	}
	return e.estimates.Kind(j.Kind).RunTime(j.RunTime)
}

// estimateEnd estimates the end of an attempt; false if its run time is unknown.
// Run times of the tasks of a job differ a little, so an attempt past its typical run
// time is expected to take a quarter longer. An attempt past that is expected to run
// for another half of its age, because its declared run time was probably far too
// short. An attempt that is being stopped is expected to end within a second.
func (e *Engine) estimateEnd(r *ledger.Run) (time.Time, bool) {
	if r.Stopping {
		return e.lastNow.Add(time.Second), true
	}
	typical, _ := e.estimateRunTime(r.Job)
	if typical <= 0 {
		return time.Time{}, false
	}
	for _, at := range [...]time.Time{r.StartedAt.Add(typical), r.StartedAt.Add(typical + typical/4)} {
		if at.After(e.lastNow) {
			return at, true
		}
	}
	return e.lastNow.Add(time.Second + e.lastNow.Sub(r.StartedAt)/2), true
}
