package cell

// task is the state of one task.
type task struct {
	done bool
	// failed holds the executions that count as failed attempts. A runner lists an
	// end again to the next scheduler if it was stored but not yet forgotten, and
	// ends of several runners come in any order.
	failed     []int64
	checkpoint string
	// execution is the highest execution number used for the task.
	execution int64
	// live lists the runs that may exist on runners and whose end matters to
	// the task; more than one only with speculative copies.
	live []*Run
}
