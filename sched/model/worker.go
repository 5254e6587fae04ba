package model

// WorkerState is the state of a worker. Only live workers get new tasks, apart from
// probes of quarantined ones.
type WorkerState int

// The states of a worker.
const (
	WorkerLive WorkerState = iota
	// WorkerSilent is a worker that does not reply, or that gets no tasks for another
	// temporary reason, for example because its attempts are not known yet.
	WorkerSilent
	// WorkerDraining is a worker on which an operator has stopped new starts.
	WorkerDraining
	// WorkerLeaving is a worker that accepts no new tasks because it is shutting down.
	WorkerLeaving
	// WorkerQuarantined is a live worker on which tasks of several jobs failed. Only
	// Engine.Workers reports this state; callers do not set it.
	WorkerQuarantined
)

// String returns the name used in the API.
func (s WorkerState) String() string {
	return [...]string{"live", "silent", "draining", "leaving", "quarantined"}[s]
}

// Worker is a VM that runs tasks.
type Worker struct {
	ID       string
	Zone     string
	Rack     string
	Capacity Resources
	State    WorkerState
}

// WorkerView is the state of a worker in the engine. It is sent to other VMs as
// JSON under these field names.
type WorkerView struct {
	Worker
	// Reserved is the amount allocated to attempts.
	Reserved Resources
	Running  int
}
