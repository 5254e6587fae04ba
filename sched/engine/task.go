package engine

import (
	"time"

	"rhubarbstall.example/sched/framework"
	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
)

// taskOf describes the tasks of a job to the rules.
func (e *Engine) taskOf(j *ledger.Job) framework.Task {
	st := stateOf(j)
	return framework.Task{
		Now:    e.last,
		Job:    j,
		Policy: st.lane.Policy,
		Urgent: st.lane.urgent(),
		Racks:  st.racks,
	}
}

// nextTask describes the next task of a job with the size to reserve.
func (e *Engine) nextTask(j *ledger.Job) framework.Task {
	t := e.taskOf(j)
	st := stateOf(j)
	kind := e.estimates.Kind(j.Kind)
	t.Size = e.claim(j, kind.Size(j.Size, st.peak))
	t.RunTime, t.LongRunTime = e.runTime(j)
	t.BelowFloor = st.lane.key.floor < 1
	return t
}

// claim returns the learned size if a worker can hold it, otherwise the largest
// part of it that a worker holds; a correction must not make a job impossible.
func (e *Engine) claim(j *ledger.Job, learned model.Resources) model.Resources {
	if learned == j.Size {
		return learned
	}
	best := j.Size
	for _, n := range e.cache.Nodes() {
		if !n.Known {
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

func (e *Engine) runTime(j *ledger.Job) (usual, long time.Duration) {
	if j.Type == model.Service && j.RunTime == 0 {
		return 0, 0
	}
	return e.estimates.Kind(j.Kind).RunTime(j.RunTime)
}

// end estimates the end of an attempt. An attempt that is overdue is expected to
// last a tenth of its age longer.
func (e *Engine) end(r *ledger.Run) (time.Time, bool) {
	if r.Stopping {
		return e.last.Add(time.Second), true
	}
	usual, _ := e.runTime(r.Job)
	if usual <= 0 {
		return time.Time{}, false
	}
	at := r.StartedAt.Add(usual)
	if !at.After(e.last) {
		at = e.last.Add(time.Second + e.last.Sub(r.StartedAt)/10)
	}
	return at, true
}
