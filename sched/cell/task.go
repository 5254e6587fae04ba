package cell

// task is the state of one task.
type task struct {
	done       bool
	failures   int
	checkpoint string
	// execution is the highest execution number used for the task.
	execution int64
	// live lists the runs that may exist on runners and whose end matters to
	// the task; more than one only with speculative copies.
	live []*Run
}
