package cell

// unroutedQueue is a policy of a queue that has not been configured in this term.
type unroutedQueue struct {
	queue *Queue
	// assumed tells that no job has told the policy yet.
	assumed bool
}

// queueOf returns the queue of a job. If it is not configured, because the operator has removed it, its
// jobs run by the policies of their own acceptance: these may differ, and the record of a completed job has
// none.
func (c *Cell) queueOf(j *Job) *Queue {
	if q := c.queues[j.Queue]; q != nil {
		return q
	}
	known := c.unrouted[j.Queue]
	if j.QueuePolicy == nil {
		if len(known) == 0 {
			q := &Queue{Name: j.Queue, Pool: j.Pool, Priority: 1, MaxAttempts: 3, SlackFactor: 2}
			known = []*unroutedQueue{{queue: q, assumed: true}}
			c.unrouted[j.Queue] = known
		}
		return known[0].queue
	}
	for _, u := range known {
		if u.assumed {
			*u.queue, u.assumed = *j.QueuePolicy, false
		}
		if u.queue.samePolicy(j.QueuePolicy) {
			return u.queue
		}
	}
	c.unrouted[j.Queue] = append(known, &unroutedQueue{queue: j.QueuePolicy})
	return j.QueuePolicy
}

// samePolicy reports whether two queues treat their jobs alike.
func (q *Queue) samePolicy(other *Queue) bool {
	a, b := *q, *other
	if a.Advice == nil || b.Advice == nil {
		return a == b
	}
	sameAdvice := *a.Advice == *b.Advice
	a.Advice, b.Advice = nil, nil
	return sameAdvice && a == b
}
