package framework

import (
	"time"

	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
)

// Task describes the next task of a job to the plugins.
type Task struct {
	Now    time.Time
	Job    *ledger.Job
	Policy model.Policy
	// Size is the amount of resources to allocate.
	Size model.Resources
	// RunTime is the estimated run time, and UpperRunTime an estimate that few tasks
	// exceed. They are zero if unknown or if the task runs until stopped.
	RunTime      time.Duration
	UpperRunTime time.Duration
	// Urgent is set if the urgency of the kind is so high that a person is assumed to
	// wait for the result.
	Urgent bool
	// BelowFloor is set if the kind uses less than its floor (with a margin), see
	// model.Policy.
	BelowFloor bool
	// TasksByRack is the number of running tasks of the job by rack, nil if the job
	// is not spread over racks.
	TasksByRack map[*cache.Rack]int
}
