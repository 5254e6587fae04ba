package dispatch

import (
	"time"

	"rhubarbstall.example/sched/model"
	wire "rhubarbstall.example/wire/worker"
)

func toRef(r wire.TaskRef) model.TaskRef {
	return model.TaskRef{Job: r.Job, Index: r.Index, Attempt: r.Attempt}
}

func fromRef(r model.TaskRef) wire.TaskRef {
	return wire.TaskRef{Job: r.Job, Index: r.Index, Attempt: r.Attempt}
}

func toResources(s wire.Size) model.Resources {
	return model.Resources{MilliCPU: s.MilliCPU, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
}

// toResult converts a result; unknown results count as a failure of the task.
func toResult(r wire.Result) model.Result {
	switch r {
	case wire.ResultSucceeded:
		return model.Succeeded
	case wire.ResultStopped:
		return model.Stopped
	case wire.ResultCheckpointed:
		return model.Checkpointed
	case wire.ResultLeaseLapsed:
		return model.LeaseLapsed
	case wire.ResultOutOfMemory:
		return model.OutOfMemory
	}
	return model.Failed
}

func fromAction(a model.Action) wire.Action {
	switch a {
	case model.ActionCheckpoint:
		return wire.ActionCheckpoint
	case model.ActionThrottle:
		return wire.ActionThrottle
	case model.ActionResume:
		return wire.ActionResume
	}
	return wire.ActionStop
}

func toOutcome(worker string, o *wire.Outcome) model.Outcome {
	return model.Outcome{
		Ref: toRef(o.Ref), Worker: worker, Result: toResult(o.Result),
		PeakUsed: toResources(o.PeakUsed), RunTime: time.Duration(o.RunMillis) * time.Millisecond,
	}
}
