package model

import "time"

// JobType selects the placement policy of a job.
type JobType string

// The job types.
const (
	Batch   JobType = "batch"
	Gang    JobType = "gang"
	Service JobType = "service"
)

// Job is a set of equal tasks.
type Job struct {
	ID         string
	Department string
	Kind       string
	Type       JobType
	Tasks      int
	Size       Resources
	// RunTime is the declared run time of one task; zero if it runs until stopped.
	RunTime       time.Duration
	Checkpointing bool
	// NoRepeat marks tasks that must not run again once an attempt may have
	// started and its outcome is lost.
	NoRepeat  bool
	Submitted time.Time
	// Done holds the indexes of tasks that already ended; they are not started.
	Done map[int]bool
	// NextAttempt holds the first attempt number to use for a task, where it is
	// above 1.
	NextAttempt map[int]int
}

// TaskRef names one attempt of one task.
type TaskRef struct {
	Job     string
	Index   int
	Attempt int
}
