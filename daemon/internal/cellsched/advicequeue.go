package cellsched

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"rhubarbstall.example/sched/cell"
)

// longCallThreshold is the expected duration above which a call counts as long. Long calls
// would delay urgent ones, since the advisor serves the calls of one VM sequentially.
const longCallThreshold = 150 * time.Millisecond

// adviceQueue is a priority queue of calls to the advisor. It assigns them to the entry VMs,
// each of which makes one call at a time. It is safe for concurrent use.
type adviceQueue struct {
	mu sync.Mutex
	// queued holds the calls that are not assigned yet, the most urgent first.
	queued []cell.AdviceCall
	// lastRequest holds when each VM last asked for a call.
	lastRequest map[string]time.Time
	// longInProgress counts the assigned calls that are long.
	longInProgress int
	// callAvailable wakes one waiting VM. Waking all VMs for each call would cost the
	// scheduler's VM more than its scheduling decisions.
	callAvailable chan struct{}
	assigned      map[int64]cell.AdviceCall
	lastID        int64
}

// callsPerTerm is the size of each term's range of call ids. The ranges do not overlap, so the late result
// of a call of an earlier term is not taken for that of another step.
const callsPerTerm = 1 << 32

// newAdviceQueue returns the queue of a scheduler's term.
func newAdviceQueue(term int64) *adviceQueue {
	return &adviceQueue{
		lastID: (term - 1) * callsPerTerm, lastRequest: make(map[string]time.Time), callAvailable: make(chan struct{}, 1), assigned: make(map[int64]cell.AdviceCall),
	}
}

func (q *adviceQueue) add(call cell.AdviceCall) {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := sort.Search(len(q.queued), func(i int) bool { return q.queued[i].Rank > call.Rank })
	q.queued = slices.Insert(q.queued, i, call)
	signal(q.callAvailable)
}

// vmTimeout is how long a VM counts as active after it last asked for a call; it is longer
// than any call takes.
const vmTimeout = 5 * time.Second

// activeVMs removes the VMs that have not asked for a call within vmTimeout and returns the
// number of the others. The caller holds q.mu.
func (q *adviceQueue) activeVMs(now time.Time) int {
	for vm, at := range q.lastRequest {
		if now.Sub(at) > vmTimeout {
			delete(q.lastRequest, vm)
		}
	}
	return len(q.lastRequest)
}

// queueWaitShare is the share of a VM's time limit that is spent waiting for a call. The rest
// is for the network in both directions: a call that is assigned after the VM has stopped
// waiting is lost, and is only made again seconds later, once it counts as failed.
const queueWaitShare = 0.6

// waitForCall waits for a call and assigns it to a VM. It returns false if there was none
// within queueWaitShare of the time until the context's deadline.
func (q *adviceQueue) waitForCall(ctx context.Context, vm string) (int64, cell.AdviceCall, bool) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(queueWaitShare*float64(time.Until(deadline))))
		defer cancel()
	}
	for {
		id, call, ok := q.assign(vm)
		if ok {
			return id, call, true
		}
		select {
		case <-ctx.Done():
			return 0, cell.AdviceCall{}, false
		case <-q.callAvailable:
		}
	}
}

// assign assigns the most urgent call to a VM that waits for one; false if there is none.
func (q *adviceQueue) assign(vm string) (int64, cell.AdviceCall, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastRequest[vm] = time.Now()
	id, call, ok := q.assignMostUrgent()
	if ok && len(q.queued) > 0 {
		// More calls are queued, so the next waiting VM is woken.
		signal(q.callAvailable)
	}
	return id, call, ok
}

// assignMostUrgent removes the most urgent call from the queue. A quarter of the VMs, at
// least one, is kept free of long calls. The caller holds q.mu.
func (q *adviceQueue) assignMostUrgent() (int64, cell.AdviceCall, bool) {
	n := q.activeVMs(time.Now())
	maxLong := max(1, n-max(1, n/4))
	for i, call := range q.queued {
		if call.ExpectedDuration > longCallThreshold {
			if q.longInProgress >= maxLong {
				continue
			}
			q.longInProgress++
		}
		q.queued = slices.Delete(q.queued, i, i+1)
		q.lastID++
		q.assigned[q.lastID] = call
		return q.lastID, call, true
	}
	return 0, cell.AdviceCall{}, false
}

// complete ends the assignment of a call and returns the call; false if it is not assigned.
func (q *adviceQueue) complete(id int64) (cell.AdviceCall, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	call, ok := q.assigned[id]
	if !ok {
		return call, false
	}
	delete(q.assigned, id)
	if call.ExpectedDuration > longCallThreshold {
		q.longInProgress--
	}
	signal(q.callAvailable)
	return call, true
}
