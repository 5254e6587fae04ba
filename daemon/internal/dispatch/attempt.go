package dispatch

import (
	"time"

	"rhubarbstall.example/sched/model"
	wire "rhubarbstall.example/wire/worker"
)

// phase is what the loop knows of an attempt.
type phase int

const (
	// queued attempts were decided and nothing was sent.
	queued phase = iota
	// sending attempts are in a call that has not returned.
	sending
	// uncertain attempts were sent without a reply. A sync under a higher epoch
	// tells whether they run.
	uncertain
	running
)

// attempt is a task attempt on a worker.
type attempt struct {
	model.Placement
	phase phase
	// kind, waited and decidedAt give the waiting time when the start is confirmed.
	kind      string
	waited    time.Duration
	decidedAt time.Time
	// asked is the action that the worker still has to carry out.
	asked wire.Action
	// unconfirmed tells that the action has not reached the worker yet.
	unconfirmed bool
}

// foreign is an attempt that was found on a worker before the records of the
// jobs were read.
type foreign struct {
	ref    model.TaskRef
	size   model.Resources
	age    time.Duration
	seenAt time.Time
}
