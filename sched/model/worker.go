package model

// WorkerState tells whether a worker takes new tasks.
type WorkerState int

// The states of a worker. Only a live worker takes new tasks.
const (
	WorkerLive WorkerState = iota
	WorkerSilent
	WorkerDraining
	WorkerLeaving
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

// WorkerView is the state of a worker as the engine sees it.
type WorkerView struct {
	Worker
	Reserved Resources
	Running  int
}
