package admission

import (
	"container/heap"
	"container/list"
	"time"
)

// queue holds the waiting requests of one class in order of arrival.
type queue struct {
	class   Class
	kind    *kind
	waiting *list.List
	running int
	// away counts the requests that run at other entry VMs.
	away int
	// virtual is the slot time that the class used, divided by its weight.
	virtual float64
	refused int64
	// activeWeight is the weight with which the queue counts while it waits, and
	// index its place among the active queues.
	activeWeight float64
	index        int
	// place is the position in the heap of the kind, or -1.
	place int
}

func (q *queue) idle() bool { return q.waiting.Len() == 0 && q.running == 0 && q.away == 0 }

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

// use adds slot time to what the class used.
func (q *queue) use(seconds float64) {
	q.virtual += seconds / q.class.weight()
	q.reorder()
}

func (q *queue) reorder() {
	if q.place >= 0 {
		heap.Fix(&q.kind.ready, q.place)
	}
}
