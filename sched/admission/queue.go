package admission

import (
	"container/heap"
	"container/list"
	"time"
)

// queue holds the queued requests of one class in order of arrival.
type queue struct {
	class   Class
	kind    *kind
	waiting *list.List
	running int
	// runningRemotely is the number of requests that run on other entry VMs.
	runningRemotely int
	// virtualTime is the slot time that the class used, divided by its weight, as in
	// weighted fair queueing.
	virtualTime float64
	refused     int64
	// activeWeight is the weight that the queue adds to kind.waitingWeight while it is
	// not empty, and activeIndex its position in Controller.active.
	activeWeight float64
	activeIndex  int
	// heapIndex is the position in kind.waitingQueues, -1 if the queue is empty.
	heapIndex int
}

func (q *queue) idle() bool { return q.waiting.Len() == 0 && q.running == 0 && q.runningRemotely == 0 }

func (q *queue) head() *Ticket {
	if e := q.waiting.Front(); e != nil {
		return e.Value.(*Ticket)
	}
	return nil
}

func (q *queue) oldestWait(now time.Time) time.Duration {
	if t := q.head(); t != nil {
		return now.Sub(t.admittedAt)
	}
	return 0
}

// addSlotTime charges slot time to the class.
func (q *queue) addSlotTime(seconds float64) {
	q.virtualTime += seconds / q.class.weight()
	q.fixHeap()
}

func (q *queue) fixHeap() {
	if q.heapIndex >= 0 {
		heap.Fix(&q.kind.waitingQueues, q.heapIndex)
	}
}
