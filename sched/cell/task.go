package cell

// task is the state of one task.
type task struct {
	done     bool
	failures int
	// failedExecution is the highest execution counted in failures. A runner lists
	// an end again to the next scheduler if it was stored but not yet forgotten.
	failedExecution int64
	checkpoint      string
	// execution is the highest execution number used for the task.
	execution int64
	// live lists the runs that may exist on runners and whose end matters to
	// the task; more than one only with speculative copies.
	live []*Run
}
