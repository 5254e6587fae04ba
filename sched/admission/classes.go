package admission

import (
	"container/list"
	"math"
	"slices"
	"time"
)

// queue returns the queue of a class, creates it if needed, and applies the policy
// of the class.
func (c *Controller) queue(now time.Time, class Class) *queue {
	class.Urgency = min(100, max(0, class.Urgency))
	q, ok := c.queues[class.key()]
	if !ok {
		k := c.kind(now, class)
		k.classes++
		q = &queue{kind: k, waiting: list.New(), heapIndex: -1}
		c.queues[class.key()] = q
		c.queueOrder = append(c.queueOrder, q)
	}
	if q.idle() {
		// An idle class must not accumulate credit for slot time that it does not use.
		q.virtualTime = max(q.virtualTime, c.virtualTime(class.Urgency))
	}
	q.class = class
	q.fixHeap()
	q.kind.setPolicy(now, class)
	return q
}

func (c *Controller) kind(now time.Time, class Class) *kind {
	k, ok := c.kinds[class.Kind]
	if !ok {
		k = &kind{updated: now}
		c.kinds[class.Kind] = k
		c.kindOrder = append(c.kindOrder, k)
	}
	return k
}

// virtualTime returns the least virtual time of the classes of an urgency with
// waiting requests or, if there are none, the virtual time of the last start.
func (c *Controller) virtualTime(urgency int) float64 {
	least := math.Inf(1)
	for _, k := range c.kindOrder {
		if len(k.waitingQueues) > 0 && k.waitingQueues[0].class.Urgency == urgency {
			least = min(least, k.waitingQueues[0].virtualTime)
		}
	}
	if math.IsInf(least, 1) {
		return c.virtualTimes[urgency]
	}
	return least
}

// evictIdleClass removes the idle class that was created first; false if no class is
// idle.
func (c *Controller) evictIdleClass() bool {
	for i, q := range c.queueOrder {
		if !q.idle() {
			continue
		}
		c.queueOrder = append(c.queueOrder[:i], c.queueOrder[i+1:]...)
		delete(c.queues, q.class.key())
		if q.kind.classes--; q.kind.classes == 0 && !q.kind.declared {
			delete(c.kinds, q.class.Kind)
			c.kindOrder = slices.DeleteFunc(c.kindOrder, func(k *kind) bool { return k == q.kind })
		}
		return true
	}
	return false
}
