package ledger

// Phase is the state of a task.
type Phase uint8

// The phases of a task. Starting and Running tasks hold resources.
const (
	Waiting Phase = iota
	Starting
	Running
	Ended
)

// Task is one task of a job. Its index is its position in Job.Tasks.
type Task struct {
	// Attempt is the highest attempt number used so far.
	Attempt  int32
	Failures int32
	Phase    Phase
	// Checkpoint tells that an earlier attempt saved its state.
	Checkpoint bool
	// ReadyNanos is the Unix time from which the task waits, in nanoseconds.
	ReadyNanos int64
	// Run is the attempt in progress, nil if there is none.
	Run *Run
}
