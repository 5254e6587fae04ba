// Package history writes and reads the event history of a test run: what callers sent and
// received, and what the platform, workers and runners did. Each process writes its own
// file, with one JSON object per line.
package history

import (
	"time"

	"rhubarbstall.example/wire/worker"
)

// Event is one line of a history file. Fields that do not apply are omitted.
type Event struct {
	// At is the wall-clock time of the event. A worker that was paused records the end of a
	// task at the time at which it was due.
	At   time.Time `json:"at"`
	Type Type      `json:"type"`
	// Node is the ID of the process that the event is about.
	Node string `json:"node"`
	// Instance identifies one start of the process.
	Instance string `json:"instance,omitempty"`

	Ref  *worker.TaskRef `json:"ref,omitempty"`
	Size *worker.Size    `json:"size,omitempty"`
	// Capacity is the capacity of a worker that starts. In the refusal of a task it is the
	// part of the capacity that is already claimed.
	Capacity *worker.Size `json:"capacity,omitempty"`
	Result   string       `json:"result,omitempty"`
	Reason   string       `json:"reason,omitempty"`
	// Owner is the ID of the owner of a worker, or of the entry VM that a caller called.
	Owner string `json:"owner,omitempty"`
	Epoch uint64 `json:"epoch,omitempty"`

	// Body is the lower-case hex SHA-256 of a request body. It links the events of callers
	// to those of runners; request IDs cannot, because entry VMs assign them.
	Body      string `json:"body,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	// Answer is the SHA-256 of the answer that was sent or received.
	Answer string `json:"answer,omitempty"`
	// ExpectedAnswer is the SHA-256 of the correct answer to the request.
	ExpectedAnswer string `json:"want,omitempty"`
	Kind           string `json:"kind,omitempty"`
	Department     string `json:"department,omitempty"`
	NoRepeat       bool   `json:"no_repeat,omitempty"`
	Outcome        string `json:"outcome,omitempty"`
	// Code is the result code of an error answer, as in api/codes.
	Code int `json:"code,omitempty"`
	// WaitMillis is the time from the arrival of a request to its dispatch.
	WaitMillis float64 `json:"wait_ms,omitempty"`

	Job string `json:"job,omitempty"`
	// Tasks is the number of tasks of a job. In a JobSeen event it is the number of tasks
	// that have succeeded.
	Tasks int `json:"tasks,omitempty"`
	// State is the state of a job or of a VM in the VM list. In a Leaving event it is
	// LeavingOn or LeavingOff.
	State string `json:"state,omitempty"`

	// Key is an idempotency key, a key of the platform's store, or the ID of a lease or of
	// a VM in the VM list.
	Key      string `json:"key,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Role     string `json:"role,omitempty"`
}
