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

// Ticket represents an admitted request. Its methods, like those of the controller, are
// not safe for concurrent use.
type Ticket struct {
	// Value is for use by the caller; the controller does not read it.
	Value any

	queue            *queue
	element          *list.Element
	state            ticketState
	admittedAt       time.Time
	startBy          time.Time
	startedAt        time.Time
	bodyBytes        int64
	estimatedService time.Duration
	// remote is set if the request runs on another entry VM.
	remote bool
}

// Wait returns the time between admission and the latest start, zero while the
// request is queued.
func (t *Ticket) Wait() time.Duration {
	if t.startedAt.IsZero() {
		return 0
	}
	return t.startedAt.Sub(t.admittedAt)
}
