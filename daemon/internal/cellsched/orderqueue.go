package cellsched

import (
	"sync"
	"time"

	"rhubarbstall.example/sched/cell"
	"rhubarbstall.example/sched/sendwindow"
)

// Sizes of orders on the wire, without the payload of a start: the request and its headers, and
// the headers of the packets.
const (
	startOrderBytes = 450
	smallOrderBytes = 350
	// initialStartBytes is the assumed mean size of a start before any has been sent.
	initialStartBytes = 1000
	// meanStartWeight is the divisor of a new start's weight in the mean size.
	meanStartWeight = 16
)

// queuedOrder is an order that waits for room in the send window.
type queuedOrder struct {
	bytes int
	// send sends the order and returns once its outcome is known or given up.
	send func()
}

// orderQueue holds the orders to runners that wait for room in the send window. It is safe for
// concurrent use.
type orderQueue struct {
	mu     sync.Mutex
	window *sendwindow.Window
	// small holds stops and paces. They go before starts: a stop may have a time limit.
	small, starts []queuedOrder
	// stopping holds the runs whose stop is queued or under way.
	stopping map[*cell.Run]bool
	// meanStart is the mean size of recent starts in bytes.
	meanStart float64
	// limited tells whether the last decision could order fewer starts than it might have.
	limited bool
}

func newOrderQueue(linkMbps float64) *orderQueue {
	return &orderQueue{window: sendwindow.New(linkMbps * bytesPerMbit), stopping: make(map[*cell.Run]bool), meanStart: initialStartBytes}
}

// maxStarts returns how many starts the next decision may order.
func (q *orderQueue) maxStarts() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	if len(q.starts) == 0 {
		n = int(float64(q.window.Room()) / q.meanStart)
		if q.window.InFlight() == 0 {
			n = max(n, 1)
		}
	}
	q.limited = n < cell.MaxStartsPerDecision
	return n
}

// setBatching sets how long orders and answers together may wait to share messages with others.
func (q *orderQueue) setBatching(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.window.SetBatching(d)
}

// addStart queues a start with a payload of the given size.
func (q *orderQueue) addStart(payloadBytes int, send func(bytes int)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := startOrderBytes + payloadBytes
	q.meanStart += (float64(n) - q.meanStart) / meanStartWeight
	q.starts = append(q.starts, queuedOrder{n, func() { send(n) }})
}

// addSmall queues an order without a payload.
func (q *orderQueue) addSmall(send func(bytes int)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.small = append(q.small, queuedOrder{smallOrderBytes, func() { send(smallOrderBytes) }})
}

// beginStop reports whether no stop of the run is queued or under way, and registers one if so.
// Without it, repeated stops would fill the queue while the link is full.
func (q *orderQueue) beginStop(run *cell.Run) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stopping[run] {
		return false
	}
	q.stopping[run] = true
	return true
}

func (q *orderQueue) endStop(run *cell.Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.stopping, run)
}

// take removes the orders that may be sent now.
func (q *orderQueue) take(now time.Time) []queuedOrder {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []queuedOrder
	for _, list := range [...]*[]queuedOrder{&q.small, &q.starts} {
		for len(*list) > 0 && q.window.Admit(now, (*list)[0].bytes) {
			out = append(out, (*list)[0])
			(*list)[0] = queuedOrder{}
			*list = (*list)[1:]
		}
		if len(*list) > 0 {
			break
		}
	}
	return out
}

// timeout returns how long to wait for the answer to an order.
func (q *orderQueue) timeout() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.window.Timeout(orderTimeout, maxOrderTimeout)
}

func (q *orderQueue) timedOut(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.window.TimedOut(now)
}

// finish returns the room of an order that was answered after a time, or abandoned. It reports
// whether a decision could order more starts now.
func (q *orderQueue) finish(now time.Time, bytes int, answered bool, took time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if answered {
		q.window.Answered(now, bytes, took)
	} else {
		q.window.Abandoned(bytes)
	}
	return q.limited && len(q.starts) == 0
}

// orderQueueStats holds the numbers of queued orders and the state of the send window in bytes.
type orderQueueStats struct {
	queuedStarts, queuedSmall int
	window, inFlight          int
}

func (q *orderQueue) stats() orderQueueStats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return orderQueueStats{len(q.starts), len(q.small), q.window.Size(), q.window.InFlight()}
}
