package ledger

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// Run is an attempt of a task that holds resources on a worker.
type Run struct {
	Job     *Job
	Index   int32
	Attempt int32
	Worker  string
	// Size is the amount allocated on the worker.
	Size      model.Resources
	StartedAt time.Time
	// Stopping means that the engine has requested the end of the attempt.
	Stopping bool
	// Unsent means that the engine has not yet returned the start to its caller.
	Unsent bool
	// FailOnStop means that the task fails without a retry when the attempt stops.
	FailOnStop bool
	// Throttled means that the engine has requested to slow the attempt down.
	Throttled bool
	// WorkerRunIndex and QueueRunIndex are the positions of the run in the lists of runs
	// of its worker and of its class queue. The engine maintains them.
	WorkerRunIndex int32
	QueueRunIndex  int32
}

// Ref returns the identity of the attempt.
func (r *Run) Ref() model.TaskRef {
	return model.TaskRef{Job: r.Job.ID, Index: int(r.Index), Attempt: int(r.Attempt)}
}

// Placement returns the attempt with its worker and its allocated size.
func (r *Run) Placement() model.Placement {
	return model.Placement{Ref: r.Ref(), Worker: r.Worker, Size: r.Size}
}
