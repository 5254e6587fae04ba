package admission

import (
	"container/heap"
	"math"
	"time"
)

// maxWaitShare is the largest expected wait with which a request is admitted, as a
// share of the time until it must start. The rest is a margin for errors of the
// estimate: with 1, a tenth of the admitted requests expired in the simulated
// overload.
const maxWaitShare = 0.9

// Config holds the limits of a controller.
type Config struct {
	// MaxQueued bounds the waiting requests of all classes; default 8192.
	MaxQueued int
	// MaxBytes bounds the bodies of all admitted requests; default 64 MiB.
	MaxBytes int64
	// MaxClasses bounds the classes in memory; default 4096.
	MaxClasses int
}

// Controller holds the queues of one entry VM and decides on admission and starts.
type Controller struct {
	cfg      Config
	capacity int
	// remoteCapacity is the number of requests that other entry VMs may take.
	remoteCapacity int
	running        int
	waiting        int
	// bytes is the size of the bodies of the admitted requests.
	bytes  int64
	queues map[classKey]*queue
	kinds  map[string]*kind
	// queueOrder and kindOrder list the queues and kinds in order of creation, so that
	// decisions do not depend on the iteration order of a map.
	queueOrder []*queue
	kindOrder  []*kind
	// active holds the queues that are not empty.
	active []*queue
	// lastExpiry is when the queues were last searched for expired requests.
	lastExpiry time.Time
	// virtualTimes holds the virtual time of the last start by urgency. Classes of
	// different urgency do not share slots by weight, so their virtual times are not
	// comparable.
	virtualTimes map[int]float64
}

// New returns a controller without capacity.
func New(cfg Config) *Controller {
	if cfg.MaxQueued <= 0 {
		cfg.MaxQueued = 8192
	}
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = 64 << 20
	}
	if cfg.MaxClasses <= 0 {
		cfg.MaxClasses = 4096
	}
	return &Controller{cfg: cfg, queues: map[classKey]*queue{}, kinds: map[string]*kind{}, virtualTimes: map[int]float64{}}
}

// SetCapacity sets the number of requests that may run at a time.
func (c *Controller) SetCapacity(now time.Time, n int) {
	if n == c.capacity {
		return
	}
	for _, k := range c.kinds {
		k.advance(now)
	}
	c.capacity = max(0, n)
}

// SetRemoteCapacity sets the number of requests that other entry VMs may take. It
// raises only the expected service rate. Reserves and floors apply to the local
// capacity, because each entry VM enforces its own.
func (c *Controller) SetRemoteCapacity(n int) { c.remoteCapacity = max(0, n) }

// DeclareKinds adds kinds before their first request, so that their reserves apply
// from the start. It replaces the kinds that were declared before.
func (c *Controller) DeclareKinds(now time.Time, classes []Class) {
	for _, k := range c.kindOrder {
		if k.declared {
			k.declared, k.reserve, k.floor = false, 0, 0
		}
	}
	for _, class := range classes {
		k := c.kind(now, class)
		k.declared = true
		k.setPolicy(now, class)
	}
}

// Capacity returns the number of requests that may run at a time.
func (c *Controller) Capacity() int { return c.capacity }

// Queued returns the number of queued requests.
func (c *Controller) Queued() int { return c.waiting }

// Running returns the number of requests that run on the local capacity.
func (c *Controller) Running() int { return c.running }

// Admit queues a request with a body of size bytes that must start by startBy, or
// refuses it. If startBy is zero, only the patience of the class applies. Exactly one of
// the results is nil.
func (c *Controller) Admit(now time.Time, class Class, startBy time.Time, size int) (*Ticket, *Refusal) {
	if c.waiting >= c.cfg.MaxQueued || c.bytes+int64(size) > c.cfg.MaxBytes {
		return nil, &Refusal{Reason: QueueFull, RetryAfter: c.queueRetryAfter()}
	}
	if _, ok := c.queues[class.key()]; !ok && len(c.queues) >= c.cfg.MaxClasses && !c.evictIdleClass() {
		return nil, &Refusal{Reason: TooManyClasses, RetryAfter: time.Second}
	}
	q := c.queue(now, class)
	if c.exceedsKindLimit(q.kind, int64(size)) {
		q.refused++
		return nil, &Refusal{Reason: QueueFull, RetryAfter: c.queueRetryAfter()}
	}
	limit := now.Add(class.Patience)
	if startBy.IsZero() || startBy.After(limit) {
		startBy = limit
	}
	if wait := c.expectedWait(q); float64(wait) > maxWaitShare*float64(startBy.Sub(now)) {
		q.refused++
		return nil, &Refusal{Reason: TooLate, RetryAfter: clampRetryAfter(wait - startBy.Sub(now))}
	}
	t := &Ticket{queue: q, admittedAt: now, startBy: startBy, bodyBytes: int64(size)}
	c.addBytes(t, t.bodyBytes)
	t.element = q.waiting.PushBack(t)
	c.updateWaiting(now, q, 1)
	return t, nil
}

// exceedsKindLimit reports whether a kind has twice as many requests or bytes as are
// still free. Under overload of one kind this leaves a third free, so that urgent
// requests are not refused because of a long queue of a patient kind.
func (c *Controller) exceedsKindLimit(k *kind, size int64) bool {
	return k.waiting >= 2*(c.cfg.MaxQueued-c.waiting) || k.bytes+size > 2*(c.cfg.MaxBytes-c.bytes)
}

func (c *Controller) addBytes(t *Ticket, bytes int64) {
	c.bytes += bytes
	t.queue.kind.bytes += bytes
}

// CheckAdmission returns the refusal that Admit would return now because of the
// expected wait, nil if there is none. The refusal is counted in the queue status.
func (c *Controller) CheckAdmission(now time.Time, class Class) *Refusal {
	q, ok := c.queues[class.key()]
	if !ok {
		return nil
	}
	if wait := c.expectedWait(q); float64(wait) > maxWaitShare*float64(class.Patience) {
		q.refused++
		return &Refusal{Reason: TooLate, RetryAfter: clampRetryAfter(wait - class.Patience)}
	}
	return nil
}

// Requeue moves a started request back to the head of its queue, for example
// because the upstream refused it without running it.
func (c *Controller) Requeue(now time.Time, t *Ticket) {
	if t.state != ticketStarted {
		return
	}
	c.releaseSlot(now, t)
	t.queue.addSlotTime(-t.estimatedService.Seconds())
	t.queue.kind.starts = max(0, t.queue.kind.starts-1)
	c.pushFront(now, t)
}

// Readmit queues a request that ended for another attempt, at the head of its
// queue. The queue limits do not apply, because it was admitted before.
func (c *Controller) Readmit(now time.Time, t *Ticket) {
	if t.state == ticketClosed {
		c.pushFront(now, t)
		c.addBytes(t, t.bodyBytes)
	}
}

func (c *Controller) pushFront(now time.Time, t *Ticket) {
	// The class may have been evicted since the request was admitted.
	t.queue = c.queue(now, t.queue.class)
	t.state = ticketWaiting
	t.startedAt = time.Time{}
	t.element = t.queue.waiting.PushFront(t)
	c.updateWaiting(now, t.queue, 1)
}

// Cancel removes a queued request; false if the request is not queued.
func (c *Controller) Cancel(now time.Time, t *Ticket) bool {
	if t.state != ticketWaiting {
		return false
	}
	t.state = ticketClosed
	c.addBytes(t, -t.bodyBytes)
	t.queue.waiting.Remove(t.element)
	c.updateWaiting(now, t.queue, -1)
	return true
}

// Finish ends a started request. served reports whether it was answered; only then does
// its run time count as service time.
func (c *Controller) Finish(now time.Time, t *Ticket, served bool) {
	if t.state != ticketStarted {
		return
	}
	c.releaseSlot(now, t)
	t.state = ticketClosed
	c.addBytes(t, -t.bodyBytes)
	actual := now.Sub(t.startedAt)
	t.queue.addSlotTime((actual - t.estimatedService).Seconds())
	if served {
		t.queue.kind.recordService(actual)
	}
}

func (c *Controller) releaseSlot(now time.Time, t *Ticket) {
	t.queue.kind.advance(now)
	if t.remote {
		t.queue.runningRemotely--
		return
	}
	t.queue.kind.running--
	t.queue.running--
	c.running--
}

func (c *Controller) updateWaiting(now time.Time, q *queue, delta int) {
	q.kind.advance(now)
	q.kind.waiting += delta
	c.waiting += delta
	switch n := q.waiting.Len(); {
	case delta > 0 && n == 1:
		q.activeWeight = q.class.weight()
		q.kind.waitingWeight += q.activeWeight
		q.activeIndex = len(c.active)
		c.active = append(c.active, q)
		heap.Push(&q.kind.waitingQueues, q)
	case delta < 0 && n == 0:
		q.kind.waitingWeight -= q.activeWeight
		last := c.active[len(c.active)-1]
		c.active[q.activeIndex], last.activeIndex = last, q.activeIndex
		c.active = c.active[:len(c.active)-1]
		heap.Remove(&q.kind.waitingQueues, q.heapIndex)
	}
}

// expectedWait returns how long the next request of a class would be queued behind
// the requests ahead of it, at most one hour if requests start at all. It uses the
// measured start rate of the kind and the weight of the class among the classes of the
// kind with queued requests.
func (c *Controller) expectedWait(q *queue) time.Duration {
	ahead := q.waiting.Len()
	if ahead == 0 {
		return 0
	}
	rate := q.kind.startRate(c.capacity+c.remoteCapacity) * q.activeWeight / q.kind.waitingWeight
	if rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(min(float64(ahead+1)/rate, 3600) * float64(time.Second))
}

// queueRetryAfter returns the expected time in which half of the queued requests
// start, within the limits of clampRetryAfter.
func (c *Controller) queueRetryAfter() time.Duration {
	rate := 0.0
	for _, k := range c.kindOrder {
		if k.waiting > 0 {
			rate += k.startRate(c.capacity + c.remoteCapacity)
		}
	}
	if rate <= 0 {
		return time.Second
	}
	return clampRetryAfter(time.Duration(float64(c.waiting) / rate * float64(time.Second) / 2))
}

// clampRetryAfter limits a retry time to 100 ms to 1 min. A caller that retries at
// once only adds load, and one that waits for hours would miss a recovery.
func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, 100*time.Millisecond), time.Minute)
}
