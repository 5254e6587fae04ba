package model

import "time"

// Placement is a task attempt on a worker.
type Placement struct {
	Ref    TaskRef
	Worker string
	Size   Resources
}

// Start asks the caller to start an attempt. The resources are reserved until
// the caller reports Started, Refused, Finished or Lost.
type Start struct {
	Placement
	Kind       string
	Department string
	RunTime    time.Duration
	// Checkpoint tells that a saved state of an earlier attempt may be used.
	Checkpoint bool
	// Waited is the time from submission, or from the end of the attempt before.
	Waited time.Duration
}

// Action is what happens to a running task.
type Action int

// The actions on a running task.
const (
	ActionStop Action = iota
	ActionCheckpoint
	ActionThrottle
	ActionResume
)

// Control asks the caller to act on a running task.
type Control struct {
	Placement
	Action Action
	// Reason is one short sentence for logs and operators.
	Reason string
}

// Decisions is the result of one decision round.
type Decisions struct {
	Starts   []Start
	Controls []Control
	// WakeAt is the time of the next round if nothing else happens; zero if none
	// is needed.
	WakeAt time.Time
}

// Result tells how an attempt ended.
type Result int

// The results of an attempt.
const (
	Succeeded Result = iota
	Failed
	// Stopped follows a stop that the engine asked for.
	Stopped
	Checkpointed
	LeaseLapsed
	OutOfMemory
)

// Outcome is a finished attempt.
type Outcome struct {
	Ref      TaskRef
	Worker   string
	Result   Result
	PeakUsed Resources
	RunTime  time.Duration
}

// Verdict tells what becomes of a task whose attempt ended.
type Verdict int

// The verdicts on a task.
const (
	// VerdictSucceeded ends the task.
	VerdictSucceeded Verdict = iota
	// VerdictFailed ends the task after its last attempt.
	VerdictFailed
	// VerdictRetry queues another attempt.
	VerdictRetry
	// VerdictParked holds the job until it is probed or cancelled.
	VerdictParked
	// VerdictCancelled ends the task because its job was cancelled.
	VerdictCancelled
	// VerdictUnknown ends a task that must not be repeated and whose outcome is lost.
	VerdictUnknown
	// VerdictIgnored means that the engine does not know the attempt.
	VerdictIgnored
)

// Usage is a lagged usage report of a running task.
type Usage struct {
	Ref  TaskRef
	Used Resources
}

// Explanation says what a job waits for.
type Explanation struct {
	// Reason is a stable name such as "running", "no_capacity", "quota",
	// "backoff", "gang_reservation" or "parked".
	Reason   string
	Sentence string
	// Rejected counts the workers that each filter rejected.
	Rejected map[string]int
}

// QueueStat describes the waiting tasks of a kind in a department.
type QueueStat struct {
	Department string
	Kind       string
	Waiting    int
	Oldest     time.Duration
}
