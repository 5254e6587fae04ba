package admission

import (
	"container/list"
	"time"
)

// queue holds the waiting requests of one class in order of arrival.
type queue struct {
	class   Class
	kind    *kind
	waiting *list.List
	running int
	// virtual is the slot time that the class used, divided by its weight.
	virtual float64
	refused int64
	// activeWeight is the weight with which the queue counts while it waits, and
	// index its place among the active queues.
	activeWeight float64
	index        int
}

func (q *queue) idle() bool { return q.waiting.Len() == 0 && q.running == 0 }

func (q *queue) head() *Ticket {
	if e := q.waiting.Front(); e != nil {
		return e.Value.(*Ticket)
	}
	return nil
}

func (q *queue) oldestWait(now time.Time) time.Duration {
	if t := q.head(); t != nil {
		return now.Sub(t.offered)
	}
	return 0
}
