package engine

import (
	"time"

	"rhubarbstall.example/sched/quota"
)

// serviceOrder is the sort key of a class queue. Queues are ordered by:
//  1. floorFill, the lowest first: kinds below their floor precede the others;
//  2. departments within their quota before those over it;
//  3. higher urgency;
//  4. fair share among departments;
//  5. the rank of the first job;
//  6. the creation order of the class queues.
type serviceOrder struct {
	// floorFill is the share that the kind uses, divided by floorMarginFactor times its
	// floor. It is at most 1, and 1 without a floor.
	floorFill float64
	overQuota bool
	urgency   int
	// rank is the rank of the first ready job, see queue.Entry.Rank.
	rank int64
}

func (e *Engine) serviceOrder(cq *classQueue, now time.Time) serviceOrder {
	k := serviceOrder{floorFill: 1, urgency: cq.Policy.Urgency}
	if f := cq.floorPercent(now); f > 0 {
		k.floorFill = min(1, 100*cq.kind.inUse.DominantShare(e.cache.Capacity())/(floorMarginFactor*float64(f)))
	}
	if entry, _ := cq.NextReady(0, now); entry != nil {
		k.overQuota = cq.QuotaNode.WouldExceedQuota(entry.Job.Size)
		k.rank = entry.Rank()
	}
	return k
}

// servedBefore reports whether class queue a precedes b in the service order.
func servedBefore(a, b *classQueue) bool {
	x, y := a.order, b.order
	switch {
	case x.floorFill != y.floorFill:
		return x.floorFill < y.floorFill
	case x.overQuota != y.overQuota:
		return y.overQuota
	case x.urgency != y.urgency:
		return x.urgency > y.urgency
	}
	if c := quota.Compare(a.QuotaNode, b.QuotaNode); c != 0 {
		return c < 0
	}
	if x.rank != y.rank {
		return x.rank < y.rank
	}
	return a.Index < b.Index
}

// classQueueHeap is a heap of class queues with the next one to serve on top.
type classQueueHeap []*classQueue

// Len implements heap.Interface.
func (h classQueueHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h classQueueHeap) Less(i, j int) bool { return servedBefore(h[i], h[j]) }

// Swap implements heap.Interface.
func (h classQueueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *classQueueHeap) Push(x any) { *h = append(*h, x.(*classQueue)) }

// Pop implements heap.Interface.
func (h *classQueueHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
