package model

import "time"

// Placement is a task attempt on a worker with its allocated size.
type Placement struct {
	Ref    TaskRef
	Worker string
	Size   Resources
}

// Start asks the caller to start an attempt. Its resources stay allocated until
// the caller reports Refused, Finished or Lost.
type Start struct {
	Placement
	Kind       string
	Department string
	RunTime    time.Duration
	// Checkpoint is set if an earlier attempt saved a checkpoint to resume from.
	Checkpoint bool
	// Waited is the time that the task was ready to start: since submission, or
	// since the end of the previous attempt and its backoff.
	Waited time.Duration
}

// Action is an operation on a running task.
type Action int

// The actions on a running task.
const (
	// ActionStop stops the task without a checkpoint.
	ActionStop Action = iota
	// ActionCheckpoint saves a checkpoint and stops the task.
	ActionCheckpoint
	// ActionThrottle slows the task down until ActionResume.
	ActionThrottle
	// ActionResume ends throttling.
	ActionResume
)

// Control asks the caller to apply an action to a running task.
type Control struct {
	Placement
	Action Action
	// Reason is a short sentence for logs and operators.
	Reason string
}

// Decisions is the result of one decision round.
type Decisions struct {
	Starts   []Start
	Controls []Control
	// WakeAt is when to call Decide again if no event occurs before; zero if no
	// further call is needed.
	WakeAt time.Time
}

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	Succeeded Result = iota
	Failed
	// Stopped is the result of an attempt that ended by ActionStop.
	Stopped
	// Checkpointed is the result of an attempt that ended by ActionCheckpoint.
	Checkpointed
	// LeaseLapsed is the result of an attempt that the worker ended because its task
	// lease was not renewed in time.
	LeaseLapsed
	// OutOfMemory is the result of an attempt that was killed because it used too much
	// memory.
	OutOfMemory
)

// Outcome describes an attempt that ended.
type Outcome struct {
	Ref      TaskRef
	Worker   string
	Result   Result
	PeakUsed Resources
	RunTime  time.Duration
}

// Verdict is the state of a task after an attempt ended.
type Verdict int

// The verdicts on a task.
const (
	// VerdictSucceeded ends the task.
	VerdictSucceeded Verdict = iota
	// VerdictFailed ends the task after its last attempt.
	VerdictFailed
	// VerdictRetry queues another attempt.
	VerdictRetry
	// VerdictParked queues another attempt, but the job is suspended after repeated
	// failures until the engine probes it or it is cancelled.
	VerdictParked
	// VerdictCancelled ends the task because its job was cancelled.
	VerdictCancelled
	// VerdictUnknown ends a NoRepeat task whose outcome is lost.
	VerdictUnknown
	// VerdictIgnored means that the attempt is unknown and nothing changed.
	VerdictIgnored
)

// Usage is the resource usage of a running task, reported with some delay.
type Usage struct {
	Ref  TaskRef
	Used Resources
}

// Explanation states what a job waits for.
type Explanation struct {
	// Reason is a stable name such as "running", "no_capacity", "quota",
	// "backoff", "gang_reservation" or "parked".
	Reason   string
	Sentence string
	// Rejected counts the rejected workers by the name of the filter.
	Rejected map[string]int
}

// QueueStat describes the waiting tasks of a kind in a department. It is sent to
// other VMs as JSON under these field names.
type QueueStat struct {
	Department string
	Kind       string
	Waiting    int
	// Oldest is the time since the submission of the oldest job with waiting tasks.
	Oldest time.Duration
}
