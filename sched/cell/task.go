package cell

// task is the state of one task.
type task struct {
	done bool
	// inherited tells that a run of the task which an earlier scheduler may have started counts for the limit of the
	// client account.
	inherited bool
	// failedExecutions holds the executions that count as failed attempts. The execution
	// numbers are kept because an end may be reported twice, to this scheduler and, if it
	// was not acknowledged, to the next one, and because ends of several runners arrive in
	// any order.
	failedExecutions []int64
	checkpoint       string
	// stalls counts the runs that were stopped because they showed no progress.
	stalls int
	// lastExecution is the highest execution number used for the task.
	lastExecution int64
	// liveRuns holds the runs of the task that may exist on runners. There is more than one
	// only with speculative copies.
	liveRuns []*Run
}
