package baseline

import (
	"time"

	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
)

// Engine implements model.Engine by first fit in arrival order.
type Engine struct {
	policies model.Policies
	workers  workers
	jobs     *ledger.JobTable
	// queue holds the jobs in order of arrival, including finished ones until the next
	// decision.
	queue      []*queuedJob
	queuedJobs map[string]*queuedJob
	outbox     ledger.Outbox
}

var _ model.Engine = (*Engine)(nil)

// New returns an engine without workers, jobs and policies.
func New() *Engine {
	return &Engine{
		workers:    workers{byID: map[string]*worker{}},
		jobs:       ledger.NewJobTable(),
		queuedJobs: map[string]*queuedJob{},
	}
}

// SetPolicies replaces the policies.
func (e *Engine) SetPolicies(_ time.Time, p model.Policies) { e.policies = p }

func (e *Engine) policy(j *ledger.Job) model.Policy {
	if e.policies != nil {
		if p, ok := e.policies.Policy(j.Department, j.Kind); ok {
			return p
		}
	}
	return model.Policy{MaxAttempts: 1}
}

// UpsertWorker adds or updates a worker.
func (e *Engine) UpsertWorker(_ time.Time, w model.Worker) {
	o := e.workers.get(w.ID)
	o.Worker, o.registered = w, true
}

// RemoveWorker removes a worker. Its attempts stay recorded until they end.
func (e *Engine) RemoveWorker(_ time.Time, id string) {
	if w := e.workers.byID[id]; w != nil {
		w.registered = false
		e.workers.deleteIfUnused(w)
	}
}

// AddJob queues a job. It returns a *model.NeverFitsError if the job cannot run even
// on idle workers.
func (e *Engine) AddJob(_ time.Time, j model.Job) error {
	if e.jobs.Job(j.ID) != nil {
		return nil
	}
	if err := ledger.CheckFits(j, e.workers.registered()); err != nil {
		return err
	}
	job, isNew := e.jobs.Add(j)
	if isNew {
		queued := newQueuedJob(job)
		e.queue = append(e.queue, queued)
		e.queuedJobs[j.ID] = queued
	}
	return nil
}

// CancelJob ends the waiting tasks of a job and returns the attempts that the caller
// has to stop.
func (e *Engine) CancelJob(now time.Time, id string) []model.Placement {
	stop, unsent := e.jobs.Cancel(now, id)
	e.releaseRuns(unsent)
	return stop
}

func (e *Engine) releaseRuns(runs []*ledger.Run) {
	for _, run := range runs {
		e.releaseRun(run, false, false)
	}
}

// RemoveJob deletes a finished job.
func (e *Engine) RemoveJob(id string) {
	e.releaseRuns(e.jobs.Remove(time.Time{}, id))
	delete(e.queuedJobs, id)
}

// Adopt records an attempt that a worker reports as running. It returns false if the
// attempt must be stopped.
func (e *Engine) Adopt(now time.Time, p model.Placement, age time.Duration) bool {
	run, isNew := e.jobs.AdoptRun(now, p, age)
	if isNew {
		e.workers.get(p.Worker).add(p.Size)
	}
	return run != nil
}

// Started records that a worker started an attempt.
func (e *Engine) Started(now time.Time, ref model.TaskRef) { e.jobs.MarkRunning(now, ref) }

// Refused records that a worker refused a start. The task is queued again at the front
// of its job.
func (e *Engine) Refused(now time.Time, ref model.TaskRef) {
	run, requeue := e.jobs.RevertStart(now, ref)
	e.releaseRun(run, requeue, true)
}

// Finished records the end of an attempt with its outcome.
func (e *Engine) Finished(now time.Time, o model.Outcome) model.Verdict {
	var p model.Policy
	if run := e.jobs.FindRun(o.Ref); run != nil {
		p = e.policy(run.Job)
	}
	run, v := e.jobs.FinishRun(now, o, p)
	e.releaseRun(run, v == model.VerdictRetry, false)
	return v
}

// Lost records the end of an attempt whose outcome is unknown.
func (e *Engine) Lost(now time.Time, ref model.TaskRef) model.Verdict {
	run, v := e.jobs.FinishLostRun(now, ref)
	e.releaseRun(run, v == model.VerdictRetry, false)
	return v
}

// releaseRun releases the resources of an ended attempt. If requeue is set, it queues
// the task again, at the front or at the end of its job.
func (e *Engine) releaseRun(run *ledger.Run, requeue, front bool) {
	if run == nil {
		return
	}
	w := e.workers.get(run.Worker)
	w.release(run.Size)
	e.workers.deleteIfUnused(w)
	queued := e.queuedJobs[run.Job.ID]
	if !requeue || queued == nil {
		return
	}
	if front {
		queued.waiting = append([]int32{run.Index}, queued.waiting...)
	} else {
		queued.waiting = append(queued.waiting, run.Index)
	}
}

// ReportUsage does nothing: this engine relies on the declared sizes.
func (e *Engine) ReportUsage(time.Time, string, []model.Usage) {}
