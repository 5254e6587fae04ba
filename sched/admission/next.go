package admission

import (
	"math"
	"slices"
	"time"
)

// expiryInterval is the time between two searches of all queues for expired
// requests. A request that is about to start is always checked.
const expiryInterval = 10 * time.Millisecond

// floorMarginFactor times the floor is the target share of a kind. Without a margin,
// the gaps between an end and the next start left a share of 19.9% with a floor of
// 20% in the simulated overload.
const floorMarginFactor = 1.05

// StartNext starts the next request and returns it. It returns nil if no request is
// queued or no slot is free for it. Requests past their latest start are removed and
// passed to expired, unless it is nil. Requests start in this order: kinds below their floor first,
// then by urgency, then by the weighted fair share of the class, then by arrival.
func (c *Controller) StartNext(now time.Time, expired func(*Ticket)) *Ticket {
	c.expire(now, expired)
	if c.running >= c.capacity {
		return nil
	}
	return c.startNext(now, expired, false)
}

// StartNextRemote starts the most urgent queued request to run on another entry VM,
// which applies its own reserves and floors. It returns nil if no request is queued.
func (c *Controller) StartNextRemote(now time.Time, expired func(*Ticket)) *Ticket {
	return c.startNext(now, expired, true)
}

func (c *Controller) startNext(now time.Time, expired func(*Ticket), remote bool) *Ticket {
	for {
		q := c.nextQueue(now, remote)
		if q == nil {
			return nil
		}
		t := q.head()
		if !now.After(t.startBy) {
			return c.start(now, q, remote)
		}
		c.Cancel(now, t)
		if expired != nil {
			expired(t)
		}
	}
}

// nextQueue returns the queue whose head may start next, nil if there is none.
func (c *Controller) nextQueue(now time.Time, remote bool) *queue {
	var best *queue
	bestFloor := false
	for _, k := range c.kindOrder {
		if len(k.waitingQueues) == 0 {
			continue
		}
		q := k.waitingQueues[0]
		if !remote && !c.leavesReserves(q) {
			continue
		}
		floor := !remote && c.belowFloor(now, k)
		if best == nil || servedBefore(q, floor, best, bestFloor) {
			best, bestFloor = q, floor
		}
	}
	return best
}

// servedBefore reports whether the head of queue a starts before that of b. aFloor and
// bFloor are set if the kinds are below their floors.
func servedBefore(a *queue, aFloor bool, b *queue, bFloor bool) bool {
	if aFloor != bFloor {
		return aFloor
	}
	if a.class.Urgency != b.class.Urgency {
		return a.class.Urgency > b.class.Urgency
	}
	return a.virtualTime < b.virtualTime
}

func (c *Controller) start(now time.Time, q *queue, remote bool) *Ticket {
	t := q.head()
	q.waiting.Remove(t.element)
	c.updateWaiting(now, q, -1)
	t.state = ticketStarted
	t.startedAt = now
	t.estimatedService = q.kind.serviceTime()
	q.kind.starts++
	if t.remote = remote; remote {
		q.runningRemotely++
	} else {
		q.running++
		q.kind.running++
		c.running++
	}
	c.virtualTimes[q.class.Urgency] = q.virtualTime
	q.addSlotTime(t.estimatedService.Seconds())
	return t
}

func (c *Controller) expire(now time.Time, expired func(*Ticket)) {
	if now.Sub(c.lastExpiry) < expiryInterval {
		return
	}
	c.lastExpiry = now
	// A queue that becomes empty is replaced by the last one of c.active, so the
	// slice is walked from the end.
	for _, q := range slices.Backward(c.active) {
		for t := q.head(); t != nil && now.After(t.startBy); t = q.head() {
			c.Cancel(now, t)
			if expired != nil {
				expired(t)
			}
		}
	}
}

// leavesReserves reports whether a start of the class leaves enough free slots for
// the unused reserves of the other kinds with at least its urgency. One slot is
// never reserved, so that patient kinds can start with a small capacity.
func (c *Controller) leavesReserves(q *queue) bool {
	reserved := 0
	for _, k := range c.kindOrder {
		if k != q.kind && k.urgency >= q.class.Urgency && k.reserve > 0 {
			reserved += max(0, int(math.Ceil(k.reserve*float64(c.capacity)))-k.running)
		}
	}
	reserved = min(reserved, c.capacity-1)
	return c.capacity-c.running > reserved
}

// belowFloor reports whether the kind uses less than its floor, both on average over
// usageWindow and now. Without the second condition, a kind that was idle would get
// all slots until the average has risen.
func (c *Controller) belowFloor(now time.Time, k *kind) bool {
	if k.floor <= 0 {
		return false
	}
	k.advance(now)
	target := k.floor * floorMarginFactor
	if float64(k.running) >= math.Ceil(target*float64(c.capacity)) {
		return false
	}
	return k.usedShare(c.capacity) < target
}
