package dispatch

import (
	"rhubarbstall.example/sched/model"
	wire "rhubarbstall.example/wire/worker"
)

// TaskStatus is the recorded status of a task that is about to start.
type TaskStatus int

// The job store may know that a task ended or was cancelled before the engine does,
// because a late write of an earlier zone scheduler can add such a record.
const (
	// TaskOpen means that the task has to run.
	TaskOpen TaskStatus = iota
	// TaskEnded means that the task has ended.
	TaskEnded
	// TaskCancelled means that the job of the task is cancelled or unknown.
	TaskCancelled
)

// JobStore stores the records of jobs. The Dispatcher calls it with its lock held, so
// an implementation must not call the Dispatcher in the same goroutine.
type JobStore interface {
	// StartSpec returns the spec to send to a worker if the task has to run, and the
	// status of the task.
	StartSpec(ref model.TaskRef) (wire.TaskSpec, TaskStatus)
	// RecordOutcome records the end of an attempt. The outcome is nil if it is not
	// known. An ignored outcome must also wait for the store before it is acknowledged:
	// the end of the task by another attempt may not be stored yet, and the worker's
	// copy of this outcome may be the only other evidence of it. If stored is not nil,
	// it is called in another goroutine after the record is stored.
	RecordOutcome(ref model.TaskRef, verdict model.Verdict, outcome *wire.Outcome, stored func())
	// RecordStartIntent reports whether the task may be started now: either it needs no
	// stored intent, or the intent is stored. Otherwise it stores the intent and then
	// calls stored, and the caller asks again.
	RecordStartIntent(ref model.TaskRef, stored func()) bool
}
