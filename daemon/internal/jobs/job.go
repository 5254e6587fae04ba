package jobs

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// State is the state of a job.
type State string

// The states of a job. Unknown means that the outcome of a task that must not be
// repeated is not known.
const (
	Pending   State = "pending"
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	Parked    State = "parked"
	Unknown   State = "unknown"
)

// Counts is the number of tasks by state.
type Counts struct {
	Pending   int `json:"pending"`
	Running   int `json:"running"`
	Succeeded int `json:"succeeded"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	Unknown   int `json:"unknown"`
}

// Job describes a stored job. It mirrors Job of the API.
type Job struct {
	ID               string        `json:"id"`
	Kind             string        `json:"kind"`
	Department       string        `json:"department"`
	Type             model.JobType `json:"type"`
	State            State         `json:"state"`
	Tasks            int           `json:"tasks"`
	AvailabilityZone string        `json:"availability_zone"`
	SubmittedAt      time.Time     `json:"submitted_at"`
	Counts           Counts        `json:"counts"`
	Message          string        `json:"message,omitempty"`
}

// Filter selects the jobs of a zone to list.
type Filter struct {
	Department string `json:"department,omitempty"`
	State      State  `json:"state,omitempty"`
	// After is the ID of the last job of the previous page.
	After string `json:"after,omitempty"`
	// Limit is the maximum number of jobs per page; zero means 100.
	Limit int `json:"limit,omitempty"`
}
