package dispatch

import (
	"rhubarbstall.example/sched/model"
	wire "rhubarbstall.example/wire/worker"
)

// Book keeps the durable records of jobs. A loop calls it with its lock held,
// so that an implementation does not call back in the same goroutine.
type Book interface {
	// Spec returns what a worker needs to run an attempt, and false if the job is
	// unknown or cancelled.
	Spec(ref model.TaskRef) (wire.Spec, bool)
	// Ended records the end of an attempt. Outcome is nil if none is known.
	// Stored is called in another goroutine once the record is stored; it may be nil.
	Ended(ref model.TaskRef, verdict model.Verdict, outcome *wire.Outcome, stored func())
	// Intend reports whether the record says that a task may have started. If
	// not, it writes that down and calls stored; the caller asks again.
	Intend(ref model.TaskRef, stored func()) bool
}
