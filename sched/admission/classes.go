package admission

import (
	"container/list"
	"math"
	"slices"
	"time"
)

// queue returns the queue of a class with the policy brought up to date.
func (c *Controller) queue(now time.Time, class Class) *queue {
	class.Urgency = min(100, max(0, class.Urgency))
	q, ok := c.queues[class.key()]
	if !ok {
		k := c.kind(now, class)
		k.classes++
		q = &queue{kind: k, waiting: list.New(), place: -1}
		c.queues[class.key()] = q
		c.order = append(c.order, q)
	}
	if q.idle() {
		// A class that was idle gets no credit for the time that it did not use.
		q.virtual = max(q.virtual, c.virtualTime(class.Urgency))
	}
	q.class = class
	q.reorder()
	q.kind.take(now, class)
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

// virtualTime returns the least virtual time of the classes of an urgency that
// wait or, if there is none, that of the last start.
func (c *Controller) virtualTime(urgency int) float64 {
	least := math.Inf(1)
	for _, k := range c.kindOrder {
		if len(k.ready) > 0 && k.ready[0].class.Urgency == urgency {
			least = min(least, k.ready[0].virtual)
		}
	}
	if math.IsInf(least, 1) {
		return c.virtual[urgency]
	}
	return least
}

// evict forgets the oldest idle class.
func (c *Controller) evict() bool {
	for i, q := range c.order {
		if !q.idle() {
			continue
		}
		c.order = append(c.order[:i], c.order[i+1:]...)
		delete(c.queues, q.class.key())
		if q.kind.classes--; q.kind.classes == 0 && !q.kind.declared {
			delete(c.kinds, q.class.Kind)
			c.kindOrder = slices.DeleteFunc(c.kindOrder, func(k *kind) bool { return k == q.kind })
		}
		return true
	}
	return false
}
