package estimate

import (
	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
)

// Response is the response to a usage report.
type Response struct {
	// Allocation is the new allocated size of the attempt.
	Allocation model.Resources
	// HasAction means that the caller has to carry out Action.
	HasAction bool
	Action    model.Action
	Reason    string
}

// RespondToUsage decides on the response to a usage report of an attempt. free is the
// unallocated part of its worker. The allocation grows to the reported usage as far
// as free allows. If that does not suffice, the attempt is throttled. If a throttled
// attempt still uses more memory or accelerators than its allocation, it is stopped,
// with a checkpoint if it supports that, before other tasks run out of them. Excess
// use of processor time leads to throttling but never to a stop.
func RespondToUsage(r *ledger.Run, used, free model.Resources) Response {
	want := r.Size.Max(used)
	grow := want.Sub(r.Size)
	granted := model.Resources{
		MilliCPU:     r.Size.MilliCPU + max(min(grow.MilliCPU, free.MilliCPU), 0),
		MemoryMB:     r.Size.MemoryMB + max(min(grow.MemoryMB, free.MemoryMB), 0),
		Accelerators: r.Size.Accelerators + max(min(grow.Accelerators, free.Accelerators), 0),
	}
	out := Response{Allocation: granted}
	exceeds := want != granted
	exceedsHard := want.MemoryMB > granted.MemoryMB || want.Accelerators > granted.Accelerators
	switch {
	case r.Stopping:
	case exceeds && !r.Throttled:
		out.HasAction, out.Action, out.Reason = true, model.ActionThrottle, "The task uses more than its reservation and the worker has no free resources left."
	case exceedsHard && r.Job.Checkpointing:
		out.HasAction, out.Action, out.Reason = true, model.ActionCheckpoint, "The task still uses more than its reservation; it is saved and stopped before other tasks of the worker run out of resources."
	case exceedsHard:
		out.HasAction, out.Action, out.Reason = true, model.ActionStop, "The task still uses more than its reservation; it is stopped before other tasks of the worker run out of resources."
	case !exceeds && r.Throttled:
		out.HasAction, out.Action, out.Reason = true, model.ActionResume, "The use of the task is within its reservation again."
	}
	return out
}
