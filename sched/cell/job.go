package cell

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// JobState is the state of a job as callers see it.
type JobState string

// The states of a job.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Completed JobState = "completed"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
)

// Final reports whether a job in this state no longer changes.
func (s JobState) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Job is a job that the cell knows.
type Job struct {
	ID    string
	Queue string
	Pool  string
	// ClientAccount names the account that the job belongs to; empty if it belongs to none.
	ClientAccount string
	Spec          Spec
	// PriorWait is the time from the acceptance of the job to the call of AddJob.
	PriorWait time.Duration
	// QueuePolicy is the policy of the job's queue when it was accepted; nil if unknown. AddJob uses
	// and then drops it.
	QueuePolicy *Queue
	// AccountPolicy is the client account when the job was accepted; nil if unknown. AddJob uses and then drops it.
	AccountPolicy *VersionedAccount
	// AdmittedShare is the share of the account's jobs that was admitted to the queue when the job was accepted; 0
	// if all were. The job stands for its inverse in the measured rate of submissions.
	AdmittedShare float64
	// Accepted is when the job was accepted, on the clock of this scheduler.
	Accepted time.Time

	state JobState
	// version counts changes of the stored part of the state; savedVersion is the version
	// that the store holds.
	version, savedVersion int
	savedState            JobState
	started               bool
	// queue is the policy of the job's queue, and account the client account; nil if the job belongs to none.
	queue   *Queue
	account *account
	// occupied is what the job's runs occupy of the limit of its account.
	occupied model.Resources
	// excess marks a job that its account submitted beyond its weight; see excess.go.
	excess bool
	// occurrences holds the open occurrences by number, and finished those of which all tasks are done.
	// waitingOccurrences counts the open ones that have not begun.
	occurrences        []*occurrence
	finished           occurrenceSet
	waitingOccurrences int
	// nextOccurrence is the first occurrence that was not opened yet, and nextDue when it is due.
	// timedIndex is one more than the job's index in Cell.timed; 0 if it is not there.
	nextOccurrence int
	nextDue        time.Time
	timedIndex     int
	// criticalPaths holds, for each step, the estimated time from its start to the end of
	// the job.
	criticalPaths []time.Duration
	// chainSteps holds, for each step, the number of steps in the longest chain that begins with it; nil for a single step.
	chainSteps []uint16
	longest    longestChain
	// memoryBytes is the estimated memory that the job takes.
	memoryBytes int64
	finishedAt  time.Time
	// writeInFlight tells whether a write of the state is in progress.
	writeInFlight bool
	// dirtySince is when the state first differed from the last one that was handed out for
	// writing; inFlightSince is the same for the write in progress.
	dirtySince, inFlightSince time.Time
	// writeAwaited tells whether a start or a caller waits until the changed state is
	// stored; inFlightAwaited is the same for the write in progress.
	writeAwaited, inFlightAwaited bool
}

// State returns the current state, which may not be stored yet.
func (j *Job) State() JobState { return j.state }

// VisibleState returns the state that callers may see: a final state only once it is
// stored.
func (j *Job) VisibleState() JobState {
	if j.state.Final() && j.savedState != j.state {
		// The final state is not stored yet.
		if j.started {
			return Running
		}
		return Queued
	}
	return j.state
}

func (j *Job) bumpVersion() { j.version++ }

// stepOf returns the step of a task; nil if the job has no such task.
func (j *Job) stepOf(ref TaskRef) *Step {
	if ref.Occurrence < 0 || ref.Occurrence >= j.Spec.Occurrences() || ref.Step < 0 || ref.Step >= len(j.Spec.Steps) {
		return nil
	}
	if st := &j.Spec.Steps[ref.Step]; ref.Index >= 0 && ref.Index < st.Count {
		return st
	}
	return nil
}

// groupOf returns the group of a task; nil if it is not known.
func (c *Cell) groupOf(ref TaskRef) *group {
	j := c.jobs[ref.Job]
	if j == nil || j.stepOf(ref) == nil {
		return nil
	}
	return j.group(ref.Occurrence, ref.Step)
}

// group returns the group of a step in an occurrence; nil if the occurrence is not open or there is no such
// step.
func (j *Job) group(occurrence, step int) *group {
	o, _ := j.findOccurrence(occurrence)
	if o == nil || step < 0 || step >= len(o.groups) {
		return nil
	}
	return o.groups[step]
}
