package admission

import (
	"container/list"
	"time"
)

type ticketState uint8

const (
	ticketWaiting ticketState = iota
	ticketStarted
	ticketClosed
)

// Ticket is one admitted request.
type Ticket struct {
	// Value belongs to the caller.
	Value any

	queue    *queue
	element  *list.Element
	state    ticketState
	offered  time.Time
	startBy  time.Time
	started  time.Time
	size     int64
	estimate time.Duration
	// remote tells that the request runs at another entry VM.
	remote bool
}

// Wait returns the time between admission and start; zero before the start.
func (t *Ticket) Wait() time.Duration {
	if t.started.IsZero() {
		return 0
	}
	return t.started.Sub(t.offered)
}
