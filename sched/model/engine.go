package model

import "time"

// Engine decides which tasks run where, for the workers of one availability zone.
type Engine interface {
	// SetPolicies replaces the policies, in force from the next decision on.
	SetPolicies(now time.Time, p Policies)
	// UpsertWorker adds a worker or changes its capacity, rack or state.
	UpsertWorker(now time.Time, w Worker)
	// RemoveWorker forgets a worker. The caller reports Lost for its attempts.
	RemoveWorker(now time.Time, id string)
	// AddJob queues the tasks of a job that are not done. A job that can never
	// run yields a *NeverFitsError and is not queued.
	AddJob(now time.Time, j Job) error
	// CancelJob drops the waiting tasks and returns the attempts to stop. No
	// decision after it starts a task of the job.
	CancelJob(now time.Time, id string) []Placement
	// RemoveJob forgets a finished job.
	RemoveJob(id string)
	// Adopt records an attempt that was found running on a worker, so that it is
	// neither started again nor forgotten. It reports false if the job is unknown,
	// cancelled, or the task is already done or runs elsewhere; the caller then
	// stops the attempt.
	Adopt(now time.Time, p Placement, age time.Duration) bool
	// Decide returns at most limit starts, and the controls that make room.
	Decide(now time.Time, limit int) Decisions
	// Started confirms a start.
	Started(now time.Time, ref TaskRef)
	// Refused takes back a start that the worker refused or that provably was
	// not sent; the task is queued again at the front.
	Refused(now time.Time, ref TaskRef)
	// Finished records the end of an attempt.
	Finished(now time.Time, o Outcome) Verdict
	// Lost records that an attempt provably no longer runs and left no outcome.
	Lost(now time.Time, ref TaskRef) Verdict
	// ReportUsage records lagged usage reports of a worker.
	ReportUsage(now time.Time, worker string, usage []Usage)
	// Explain says what a job waits for; false if the job is unknown.
	Explain(now time.Time, job string) (Explanation, bool)
	// Workers returns the workers in order of identity.
	Workers() []WorkerView
	// Queues describes the waiting tasks.
	Queues(now time.Time) []QueueStat
}
