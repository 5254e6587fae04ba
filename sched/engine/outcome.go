package engine

import (
	"time"

	"rhubarbstall.example/sched/health"
	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
)

// Started confirms that a worker started an attempt.
func (e *Engine) Started(now time.Time, ref model.TaskRef) {
	e.jobs.MarkRunning(e.monotonic(now), ref)
}

// Refused takes back a start and queues the task again at the front.
func (e *Engine) Refused(now time.Time, ref model.TaskRef) {
	now = e.monotonic(now)
	run, again := e.jobs.RevertStart(now, ref)
	if run == nil {
		return
	}
	e.health.RescheduleProbe(now, ref.Job)
	e.endAttempt(now, run, again)
}

// Finished records the end of an attempt.
func (e *Engine) Finished(now time.Time, o model.Outcome) model.Verdict {
	now = e.monotonic(now)
	var p model.Policy
	if run := e.jobs.FindRun(o.Ref); run != nil {
		p = stateOf(run.Job).queue.Policy
	}
	run, v := e.jobs.FinishRun(now, o, p)
	if run == nil {
		return v
	}
	e.updateEstimates(run, o)
	e.endAttempt(now, run, v == model.VerdictRetry)
	e.updateHealth(now, run, o.Result)
	if v == model.VerdictRetry && run.Job.Parked {
		v = model.VerdictParked
	}
	return v
}

// Lost records the end of an attempt that reported no outcome. It does not count
// as a failure of the worker or of the job.
func (e *Engine) Lost(now time.Time, ref model.TaskRef) model.Verdict {
	now = e.monotonic(now)
	run, v := e.jobs.FinishLostRun(now, ref)
	if run == nil {
		return v
	}
	e.health.RescheduleProbe(now, ref.Job)
	e.endAttempt(now, run, v == model.VerdictRetry)
	return v
}

// endAttempt releases the resources of an attempt, and queues the task again if
// there is to be another one.
func (e *Engine) endAttempt(now time.Time, run *ledger.Run, again bool) {
	e.detach(run)
	e.capacityVersion++
	if again {
		e.queue.Requeue(now, stateOf(run.Job).entry, int(run.Index))
	} else if run.Job.Waiting == 0 {
		e.removeReservationsOf(run.Job)
	}
}

// updateEstimates records the usage and run time of an attempt that ended.
func (e *Engine) updateEstimates(run *ledger.Run, o model.Outcome) {
	st := stateOf(run.Job)
	kind := e.estimates.Kind(run.Job.Kind)
	st.peakUsed = st.peakUsed.Max(o.PeakUsed)
	if o.Result == model.OutOfMemory {
		// The true peak is unknown, because the task was killed before it reached it. The
		// next attempt requests 1.5 times as much memory.
		st.peakUsed.MemoryMB = max(st.peakUsed.MemoryMB, run.Size.MemoryMB*3/2)
	}
	if o.Result == model.Succeeded {
		kind.ObserveSize(run.Job.Size, o.PeakUsed)
		kind.ObserveRunTime(run.Job.RunTime, o.RunTime)
		st.runTimes.Add(o.RunTime)
	}
}

// updateHealth updates the failure records of the worker and the job, and
// quarantines the worker or parks the job if they fail too often. Running out of
// memory does not count: the requested size was too small.
func (e *Engine) updateHealth(now time.Time, run *ledger.Run, result model.Result) {
	n := e.cache.Get(run.Worker)
	switch result {
	case model.Succeeded:
		workerReleased, jobReleased := e.health.RecordSuccess(run.Worker, run.Job.ID)
		if workerReleased && n != nil {
			n.Quarantined, n.Probing = false, false
			e.cache.Reindex(n)
			e.capacityVersion++
		}
		if jobReleased {
			e.unpark(run.Job)
		}
	case model.Failed:
		if n == nil || n.RackOf() == nil {
			return
		}
		site := health.FailureSite{
			Worker: n.ID, Rack: n.Rack, RackWorkers: len(n.RackOf().Nodes),
			Racks: len(e.cache.Racks()), Workers: e.cache.WorkerCount(),
		}
		quarantine, park := e.health.RecordFailure(now, site, run.Job.ID)
		if quarantine {
			n.Quarantined, n.Probing = true, false
			e.removeReservation(n)
			e.cache.Reindex(n)
		}
		if park {
			run.Job.Parked = true
			e.removeReservationsOf(run.Job)
		}
	default:
		e.health.RescheduleProbe(now, run.Job.ID)
	}
}

func (e *Engine) unpark(j *ledger.Job) {
	j.Parked = false
	stateOf(j).probing = false
	if j.Waiting > 0 && !j.Cancelled {
		e.queue.Resume(stateOf(j).entry)
	}
}

// startProbes lets quarantined workers and parked jobs whose probe is due try one
// task, and returns the time of the next probe.
func (e *Engine) startProbes(now time.Time) time.Time {
	workers, jobs, next := e.health.StartDueProbes(now)
	for _, id := range workers {
		if n := e.cache.Get(id); n != nil {
			n.Probing = true
			e.cache.Reindex(n)
			e.capacityVersion++
		}
	}
	for _, id := range jobs {
		if j := e.jobs.Job(id); j != nil {
			e.unpark(j)
			stateOf(j).probing = true
		}
	}
	return next
}
