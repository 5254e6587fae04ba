package queue

import (
	"container/heap"
	"time"

	"rhubarbstall.example/sched/ledger"
)

type classKey struct{ department, kind string }

// Queue holds the class queues of a zone and the tasks in backoff.
type Queue struct {
	byClass map[classKey]*ClassQueue
	// classQueues lists the class queues in order of creation.
	classQueues []*ClassQueue
	delayed     delayHeap
	seq         uint64
}

// New returns an empty queue.
func New() *Queue { return &Queue{byClass: map[classKey]*ClassQueue{}} }

// ClassQueue returns the queue of a kind in a department, and whether it was created by
// this call.
func (q *Queue) ClassQueue(department, kind string) (cq *ClassQueue, created bool) {
	k := classKey{department, kind}
	if cq := q.byClass[k]; cq != nil {
		return cq, false
	}
	cq = &ClassQueue{Department: department, Kind: kind, Index: len(q.classQueues)}
	q.byClass[k] = cq
	q.classQueues = append(q.classQueues, cq)
	return cq, true
}

// Add inserts a job into a class queue in order of rank.
func (q *Queue) Add(cq *ClassQueue, j *ledger.Job) *Entry {
	e := &Entry{Job: j, Queue: cq, rank: rank(j, cq.Policy.Patience)}
	cq.push(e)
	return e
}

// Requeue queues a task again, before the other tasks of its job. If the job is not in
// its class queue, it becomes the first one there. A task in backoff is queued when its
// backoff ends.
func (q *Queue) Requeue(now time.Time, e *Entry, index int) {
	t := &e.Job.TaskStates[index]
	if t.ReadyNanos > now.UnixNano() {
		q.seq++
		e.delayedTasks++
		heap.Push(&q.delayed, delayedTask{at: t.ReadyNanos, seq: q.seq, entry: e, index: int32(index)})
		return
	}
	e.requeued = append(e.requeued, int32(index))
	e.Queue.Version++
	if !e.queued {
		e.Queue.pushFront(e)
	}
}

// ReleaseDelayed queues the tasks whose backoff has ended, and returns the time at
// which the next backoff ends, zero if there is none.
func (q *Queue) ReleaseDelayed(now time.Time) time.Time {
	for len(q.delayed) > 0 {
		if at := q.delayed[0].at; at > now.UnixNano() {
			return time.Unix(0, at)
		}
		d := heap.Pop(&q.delayed).(delayedTask)
		d.entry.delayedTasks--
		if d.entry.Job.Cancelled || d.entry.Job.TaskStates[d.index].Phase != ledger.Waiting {
			continue
		}
		q.Requeue(now, d.entry, int(d.index))
	}
	return time.Time{}
}

// Resume queues a parked job again, before the other jobs of its class queue.
func (q *Queue) Resume(e *Entry) {
	if !e.queued {
		e.Queue.pushFront(e)
	}
}
