package ledger

// Phase is the lifecycle state of a task.
type Phase uint8

// The phases of a task. Starting and Running tasks hold resources.
const (
	Waiting Phase = iota
	Starting
	Running
	Ended
)

// Task is the state of one task of a job. The index of the task is its position in
// Job.TaskStates.
type Task struct {
	// Attempt is the highest attempt number used so far.
	Attempt  int32
	Failures int32
	Phase    Phase
	// Checkpoint means that an earlier attempt saved a checkpoint.
	Checkpoint bool
	// ReadyNanos is the Unix time from which the task may start, in nanoseconds.
	ReadyNanos int64
	// Run is the current attempt, nil if there is none.
	Run *Run
}
