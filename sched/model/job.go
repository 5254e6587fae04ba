package model

import "time"

// JobType selects how the tasks of a job are placed.
type JobType string

// The job types. The tasks of a gang start together; those of a service are spread
// over racks.
const (
	Batch   JobType = "batch"
	Gang    JobType = "gang"
	Service JobType = "service"
)

// Job is a set of tasks with the same requirements.
type Job struct {
	ID         string
	Department string
	Kind       string
	Type       JobType
	Tasks      int
	// Size is the declared amount of resources of one task.
	Size Resources
	// RunTime is the declared run time of one task. Zero means that it is unknown or,
	// for a service, that the tasks run until stopped.
	RunTime       time.Duration
	Checkpointing bool
	// NoRepeat forbids another attempt of a task once an attempt may have started,
	// whatever its result.
	NoRepeat bool
	// Submitted is the time of submission. If it is zero or in the future, the engine
	// may use the time of AddJob instead.
	Submitted time.Time
	// Done holds the indexes of the tasks that have ended; they are not started.
	Done map[int]bool
	// NextAttempt holds the number of the next attempt by task index. Tasks without
	// an entry start with attempt 1.
	NextAttempt map[int]int
}

// TaskRef identifies one attempt of one task.
type TaskRef struct {
	Job     string
	Index   int
	Attempt int
}
