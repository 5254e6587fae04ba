package model

import "time"

// Engine decides which tasks run where, for the workers of one availability zone.
type Engine interface {
	// SetPolicies replaces the policies. They apply from the next decision on.
	SetPolicies(now time.Time, p Policies)
	// UpsertWorker adds a worker or changes its capacity, rack or state.
	UpsertWorker(now time.Time, w Worker)
	// RemoveWorker removes a worker. The caller reports Lost for its attempts.
	RemoveWorker(now time.Time, id string)
	// AddJob queues the tasks of a job that have not ended. It returns a
	// *NeverFitsError and queues nothing if the job can never run. It ignores a job
	// whose ID is already known.
	AddJob(now time.Time, j Job) error
	// CancelJob drops the waiting tasks and returns the attempts to stop. No later
	// decision starts a task of the job.
	CancelJob(now time.Time, id string) []Placement
	// RemoveJob removes a finished job.
	RemoveJob(id string)
	// Adopt records an attempt that was found running on a worker, so that the task
	// is not started again and its resources are accounted for. It returns false if
	// the job is unknown or cancelled, or if the task has ended or has another
	// attempt in progress; the caller then stops the attempt.
	Adopt(now time.Time, p Placement, age time.Duration) bool
	// Decide returns at most limit starts, and the controls for running tasks.
	Decide(now time.Time, limit int) Decisions
	// Started confirms that a worker started an attempt.
	Started(now time.Time, ref TaskRef)
	// Refused takes back a start that the worker refused or that certainly was
	// not sent. The task is queued again, before the other tasks of its job.
	Refused(now time.Time, ref TaskRef)
	// Finished records the end of an attempt.
	Finished(now time.Time, o Outcome) Verdict
	// Lost records that an attempt certainly no longer runs and that its outcome
	// is unknown, for example because its worker was removed.
	Lost(now time.Time, ref TaskRef) Verdict
	// ReportUsage records the usage of the running tasks of a worker.
	ReportUsage(now time.Time, worker string, usage []Usage)
	// Explain returns what a job waits for; false if the job is unknown.
	Explain(now time.Time, job string) (Explanation, bool)
	// Workers returns the workers in order of ID.
	Workers() []WorkerView
	// Queues returns the waiting tasks by department and kind.
	Queues(now time.Time) []QueueStat
}
