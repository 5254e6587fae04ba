package engine

import (
	"time"

	"rhubarbstall.example/sched/model"
	"rhubarbstall.example/sched/queue"
)

// kindUsage is the amount allocated to a kind in all departments.
type kindUsage struct {
	inUse model.Resources
}

// classQueue is a queue.ClassQueue with the scheduling state of the engine.
type classQueue struct {
	*queue.ClassQueue
	kind *kindUsage
	// scanPosition, skippedJobs and order are set in each round of Decide.
	scanPosition int
	skippedJobs  int
	order        serviceOrder
	// exhaustedAt is when the queue last had nothing more to start;
	// exhaustedCapacityVersion and exhaustedQueueVersion are Engine.capacityVersion and
	// Version at that time.
	exhaustedAt              time.Time
	exhaustedCapacityVersion uint64
	exhaustedQueueVersion    uint64
}

// markExhausted records that the queue has nothing more to start until capacity
// becomes free, a task is queued, or recheckInterval passes.
func (cq *classQueue) markExhausted(capacityVersion uint64, now time.Time) {
	cq.exhaustedAt, cq.exhaustedCapacityVersion, cq.exhaustedQueueVersion = now, capacityVersion, cq.Version
}

func (cq *classQueue) exhausted(capacityVersion uint64, now time.Time) bool {
	return cq.exhaustedCapacityVersion == capacityVersion && cq.exhaustedQueueVersion == cq.Version && !cq.exhaustedAt.IsZero() && now.Sub(cq.exhaustedAt) < recheckInterval
}

func (cq *classQueue) urgent() bool { return cq.Policy.Urgency >= minUrgentUrgency }

// floorPercent returns the percentage of the capacity that is guaranteed to the kind.
// It is at least lateFloorPercent if the first ready job has waited longer than its
// patience.
func (cq *classQueue) floorPercent(now time.Time) int {
	f := cq.Policy.FloorPercent
	if f < lateFloorPercent && cq.OldestWait(now) > cq.Policy.Patience {
		f = lateFloorPercent
	}
	return f
}

func (e *Engine) classQueueFor(department, kind string) *classQueue {
	q, created := e.queue.ClassQueue(department, kind)
	if !created {
		return e.classQueues[q.Index]
	}
	use := e.kindUsages[kind]
	if use == nil {
		use = &kindUsage{}
		e.kindUsages[kind] = use
	}
	q.QuotaNode = e.quotas.Node(department)
	q.Policy = e.policy(department, kind)
	cq := &classQueue{ClassQueue: q, kind: use}
	e.classQueues = append(e.classQueues, cq)
	return cq
}
