package dispatch

import (
	"time"

	"rhubarbstall.example/sched/model"
	wire "rhubarbstall.example/wire/worker"
)

// phase is the progress of an attempt as the dispatcher knows it.
type phase int

const (
	// queued means that the engine decided the start and nothing was sent yet.
	queued phase = iota
	// sending means that the start call has not returned yet.
	sending
	// uncertain means that the start call got no reply. A sync with a higher epoch
	// shows whether the attempt runs.
	uncertain
	running
)

// attempt is a task attempt on a worker.
type attempt struct {
	model.Placement
	phase phase
	// kind, waited and decidedAt are used for the wait metric when the start is confirmed.
	kind      string
	waited    time.Duration
	decidedAt time.Time
	// requestedAction is the last action that was requested for the attempt.
	requestedAction wire.Action
	// actionPending means that the worker has not confirmed the requested action yet.
	actionPending bool
}

// discoveredAttempt is an attempt that a worker reported before the job records were
// read.
type discoveredAttempt struct {
	ref    model.TaskRef
	size   model.Resources
	age    time.Duration
	seenAt time.Time
}
