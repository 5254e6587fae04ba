package cell

import (
	"slices"
	"time"

	"rhubarbstall.example/sched/model"
)

// A call without an answer may be carried out seconds later, by whichever incarnation the runner has then. A new
// incarnation refuses neither a start nor an acknowledgement before the scheduler's first call to it. If it
// executes both, the end of the run is gone before anybody has read it, and the task runs again. So a start and an
// acknowledgement are never both on their way to one runner:
//
//   - Ends are acknowledged only while no start is on its way: each has been answered or listed, or is so old that
//     it cannot arrive any more.
//   - No start is sent while an acknowledgement waits for its answer. If none came, and no list shows that it was
//     executed, later starts carry a higher token: an incarnation which has executed one of them refuses it. The same
//     holds for an acknowledgement that goes along with a call which waits for long.
//
// A task whose start is on its way to a runner starts nowhere else meanwhile: a new incarnation executes the start even
// if its predecessor was made to refuse it.
//
// Such a start is repeated with the same execution: however many of the orders an incarnation gets, it executes one.
//
// A start with a ticket cannot arrive once the ticket has expired. The ticket may be that of an incarnation which the
// scheduler has not noticed yet.

// unsettledStart is a start order that a runner may still carry out.
type unsettledStart struct {
	runner string
	key    runKey
	// attempt identifies the order among those of the same execution.
	attempt int
	// sentAt is when the order was sent, and arrivesUntil until when it may be carried out.
	sentAt, arrivesUntil time.Time
	// underWay tells that the answer is still awaited.
	underWay bool
	// repeated tells that there are several orders of the execution, so that a listed run does not show which of them
	// was carried out.
	repeated bool
	// closed tells that the execution was stopped or has ended, so that a repeated order would be refused.
	closed bool
	// account is the client account that a run of the order counts for, nil for none, and size how much it counts.
	account *account
	size    model.Resources
	// group is that of the task; nil if it is not known.
	group *group
	// acceptedAt is when the runner accepted the run in an answer that does not tell its incarnation; zero otherwise.
	acceptedAt time.Time
}

// settle forgets a start order that cannot be carried out any more.
func (c *Cell) settle(u *unsettledStart) {
	if !u.underWay {
		c.unsettledVersion++
	}
	same := func(other *unsettledStart) bool { return other == u }
	if r := c.runners[u.runner]; r != nil {
		r.unsettled = slices.DeleteFunc(r.unsettled, same)
	}
	before := len(c.unsettled[u.key.task])
	left := slices.DeleteFunc(c.unsettled[u.key.task], same)
	if u.group != nil && len(left) < before {
		u.group.unsettledStarts--
	}
	if len(left) == 0 {
		delete(c.unsettled, u.key.task)
		return
	}
	c.unsettled[u.key.task] = left
}

// settleListedStarts settles the start orders that a report of the present incarnation shows to have been executed.
func (c *Cell) settleListedStarts(sentAt time.Time, r *runner, rep *Report) {
	if len(r.unsettled) == 0 {
		return
	}
	listed := make(map[runKey]bool, len(rep.Running)+len(rep.Ended))
	for i := range rep.Running {
		listed[runKey{rep.Running[i].Task, rep.Running[i].Execution}] = true
	}
	for i := range rep.Ended {
		listed[runKey{rep.Ended[i].Task, rep.Ended[i].Execution}] = true
	}
	for _, u := range slices.Clone(r.unsettled) {
		accepted := !u.acceptedAt.IsZero() && u.acceptedAt.Before(sentAt)
		if accepted || (listed[u.key] && !u.repeated) {
			c.settle(u)
		}
	}
}

// mayArrive reports whether a runner may still carry out a start order.
func (c *Cell) mayArrive(now time.Time, u *unsettledStart) bool {
	return u.underWay || now.Before(u.arrivesUntil)
}

// mayRun reports whether a start order may still be carried out, or its run may exist on a runner that is not heard.
// Renewals that arrive late prolong its lease.
func (c *Cell) mayRun(now time.Time, r *runner, u *unsettledStart) bool {
	if c.mayArrive(now, u) {
		return true
	}
	lastArrival := u.arrivesUntil
	if r != nil {
		if r.fenced && r.lastReportSentAt.After(u.arrivesUntil) {
			return false
		}
		if renewal := r.leaseGrantedAt.Add(c.cfg.LateCallLimit); renewal.After(lastArrival) {
			lastArrival = renewal
		}
	}
	return now.Before(lastArrival.Add(c.cfg.MaxLease + leaseMargin(c.cfg.MaxLease)))
}

// expireUnsettledStarts forgets the start orders that are too old to be carried out.
func (c *Cell) expireUnsettledStarts(now time.Time) {
	for _, started := range c.unsettled {
		for _, u := range slices.Clone(started) {
			if !c.mayRun(now, c.runners[u.runner], u) {
				c.settle(u)
			}
		}
	}
}

func (c *Cell) addUnsettled(u *unsettledStart) {
	c.unsettled[u.key.task] = append(c.unsettled[u.key.task], u)
	if u.group != nil {
		u.group.unsettledStarts++
	}
	if r := c.runners[u.runner]; r != nil {
		r.unsettled = append(r.unsettled, u)
	}
}

// unsettledOn returns the start orders that a runner may still carry out.
func (c *Cell) unsettledOn(runner string) []*unsettledStart {
	var out []*unsettledStart
	for _, started := range c.unsettled {
		for _, u := range started {
			if u.runner == runner {
				out = append(out, u)
			}
		}
	}
	return out
}

// boundRunner returns the only runner on which a task may start now, because an earlier start of it may still be
// carried out there; "" if it may start on any.
func (c *Cell) boundRunner(task TaskRef) string {
	if started := c.unsettled[task]; len(started) > 0 {
		return started[0].runner
	}
	return ""
}

// boundTasks returns how many waiting tasks of a group may start on one runner only, and one of these runners.
func (c *Cell) boundTasks(g *group) (n int, runner string) {
	for _, i := range g.waitingIndexes() {
		if id := c.boundRunner(g.taskRef(i)); id != "" {
			n, runner = n+1, id
		}
	}
	return n, runner
}
