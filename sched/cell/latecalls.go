package cell

import (
	"slices"
	"time"
)

// A call without an answer may be carried out seconds later, by whichever incarnation the runner has then. A new
// incarnation refuses neither a start nor an acknowledgement before the scheduler's first call to it. If it
// executes both, the end of the run is gone before anybody has read it, and the task runs again. So a start and an
// acknowledgement are never both on their way to one runner:
//
//   - Ends are acknowledged only while no start is on its way: each has been answered or listed, or is so old that
//     it cannot arrive any more.
//   - No start is sent while an acknowledgement waits for its answer. If none came, and no list shows that it was
//     executed, later starts carry a higher token: an incarnation which has executed one of them refuses it.
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
	// acceptedAt is when the runner accepted the run in an answer that does not tell its incarnation; zero otherwise.
	acceptedAt time.Time
}

// PreparedStart is a start order that is about to be sent.
type PreparedStart struct {
	// Token is the token that the order carries.
	Token int64
	// Attempt identifies the order among those of the same execution; 0 if it must not be sent.
	Attempt int
	// StaleReason tells why the order must not be sent; empty if it may be.
	StaleReason string
	// Blocked tells that the order has to wait until an acknowledgement to the runner is answered.
	Blocked bool
}

// PrepareStart is called right before a start order is sent. After an order that is sent, RecordStartOutcome must follow.
func (c *Cell) PrepareStart(now time.Time, st StartOrder) PreparedStart {
	if reason := c.StaleStartReason(now, st); reason != "" {
		return PreparedStart{StaleReason: reason}
	}
	r, run := c.runners[st.Run.Runner], st.Run
	if r.ackUnderWay || r.ackWaiting {
		return PreparedStart{Blocked: true}
	}
	c.attempts++
	r.passLostAck()
	run.Fence, run.attempt = r.token, c.attempts
	u := &unsettledStart{
		runner: r.info.ID, key: runKey{run.Task, run.Execution}, attempt: run.attempt, sentAt: now,
		arrivesUntil: now.Add(c.cfg.LateCallLimit), underWay: true,
	}
	if expiry := run.group.advice.tickets[r.info.ID].expiry; st.Ticket != "" && expiry.Before(u.arrivesUntil) {
		u.arrivesUntil = expiry
	}
	for _, other := range c.unsettled[run.Task] {
		if other.key == u.key && other.runner == u.runner {
			other.repeated, u.repeated = true, true
		}
	}
	c.addUnsettled(u)
	return PreparedStart{Token: r.token, Attempt: run.attempt}
}

// RecordUnidentifiedAnswer records that the answer to a start order does not tell which incarnation of the runner has
// accepted it. The next report does.
func (c *Cell) RecordUnidentifiedAnswer(now time.Time, run *Run, attempt int) {
	if u := c.unsettledAttempt(run, attempt); u != nil {
		u.acceptedAt = now
	}
}

// recordAnswer updates what is known of a start order that may still be carried out.
func (c *Cell) recordAnswer(run *Run, attempt int, outcome StartOutcome) {
	u := c.unsettledAttempt(run, attempt)
	if u == nil {
		return
	}
	if u.underWay {
		u.underWay = false
		c.unsettledVersion++
	}
	if outcome == StartRefused || (outcome == StartOK && u.acceptedAt.IsZero()) {
		c.settle(u)
	}
}

func (c *Cell) unsettledAttempt(run *Run, attempt int) *unsettledStart {
	for _, u := range c.unsettled[run.Task] {
		if u.attempt == attempt && u.runner == run.Runner {
			return u
		}
	}
	return nil
}

// mayStartLater reports whether an order to start a run may still be carried out.
func (c *Cell) mayStartLater(run *Run) bool {
	for _, u := range c.unsettled[run.Task] {
		if u.runner == run.Runner && u.key.execution == run.Execution {
			return true
		}
	}
	return false
}

// closeExecution records that an execution was stopped on a runner or has ended there.
func (c *Cell) closeExecution(runner string, key runKey) {
	for _, u := range c.unsettled[key.task] {
		if u.runner == runner && u.key == key && !u.closed {
			u.closed = true
			c.unsettledVersion++
		}
	}
}

// executionToRepeat returns the execution with which a task starts again because an order with it may still be carried
// out; 0 if it takes the next one.
func (c *Cell) executionToRepeat(task TaskRef) int64 {
	var execution int64
	for _, u := range c.unsettled[task] {
		if u.closed || (execution != 0 && u.key.execution != execution) {
			return 0
		}
		execution = u.key.execution
	}
	return execution
}

// resolveUnlistedStart handles a run whose start got no answer and that its runner does not list. Once the order is
// repeated, the run exists or its runner refuses it. Gangs start as a whole, and tickets expire, so these are stopped.
func (c *Cell) resolveUnlistedStart(now time.Time, r *runner, run *Run) {
	g := run.group
	needed := g != nil && !run.orphan && !run.unneeded() && !g.tasks[run.Task.Index].done
	if needed && !g.spec.Gang && g.queue.Advice == nil && !run.refusedAsOld && c.mayStartLater(run) {
		if r.usable(now) {
			run.Phase = Sending
			c.repeats = append(c.repeats, run)
		}
		return
	}
	// A stop order keeps the runner from executing a start order that arrives late.
	c.orderStop(now, run)
	if g != nil && g.spec.Gang && !run.orphan {
		c.stopGang(now, g)
	}
}

// takeRepeats returns the orders to repeat since the last call.
func (c *Cell) takeRepeats() []StartOrder {
	var starts []StartOrder
	for _, run := range c.repeats {
		if g := run.group; run.Phase == Sending && run.task() != nil {
			starts = append(starts, StartOrder{Run: run, Payload: g.job.Spec.Payload, Checkpoint: run.task().checkpoint})
		}
	}
	c.repeats = nil
	return starts
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
	left := slices.DeleteFunc(c.unsettled[u.key.task], same)
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

// UnsettledStart is a start order that a runner may still carry out, in the record for the next scheduler.
type UnsettledStart struct {
	Task      TaskRef
	Execution int64
	Runner    string
	// Closed tells that the execution was stopped or has ended on the runner.
	Closed bool
}

// UnsettledVersion changes with the set of start orders that got no answer and may still be carried out.
func (c *Cell) UnsettledVersion() int { return c.unsettledVersion }

// UnsettledStarts returns start orders that may still be carried out, at most limit, those without an answer first.
func (c *Cell) UnsettledStarts(limit int) []UnsettledStart {
	var unanswered, underWay []UnsettledStart
	for _, started := range c.unsettled {
		for _, u := range started {
			x := UnsettledStart{Task: u.key.task, Execution: u.key.execution, Runner: u.runner, Closed: u.closed}
			if u.underWay {
				underWay = append(underWay, x)
			} else {
				unanswered = append(unanswered, x)
			}
		}
	}
	all := append(unanswered, underWay...)
	return all[:min(limit, len(all))]
}

// AdoptUnsettledStarts adds the start orders of earlier schedulers that may still be carried out. How long ago they were
// sent is not known.
func (c *Cell) AdoptUnsettledStarts(now time.Time, starts []UnsettledStart) {
	if len(starts) == 0 {
		return
	}
	for _, x := range starts {
		// The record may stand for several orders.
		c.addUnsettled(&unsettledStart{runner: x.Runner, key: runKey{x.Task, x.Execution}, sentAt: now, arrivesUntil: now.Add(c.cfg.LateCallLimit), repeated: true, closed: x.Closed})
	}
	c.unsettledVersion++
}

func (c *Cell) addUnsettled(u *unsettledStart) {
	c.unsettled[u.key.task] = append(c.unsettled[u.key.task], u)
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

// AckState tells whether the ends of a runner can be acknowledged.
type AckState int

// The states of the acknowledgement of ends.
const (
	// AckNothing means that there is no end to acknowledge.
	AckNothing AckState = iota
	// AckReady means that the acknowledgement is to be sent now.
	AckReady
	// AckAfterStarts means that starts are under way, which have to be answered first. No further ones are sent.
	AckAfterStarts
	// AckBarred means that a start may still be carried out late.
	AckBarred
)

// BeginAcknowledgement returns whether ends of a runner can be acknowledged now, and with AckReady the number of the
// last of them; EndAcknowledgement must follow. A caller that does not wait for starts that are under way calls
// CancelAcknowledgement.
func (c *Cell) BeginAcknowledgement(now time.Time, id string) (AckState, int64) {
	number := c.EndToAcknowledge(id)
	if number == 0 {
		return AckNothing, 0
	}
	r := c.runners[id]
	r.ackWaiting = false
	underWay := false
	for _, u := range r.unsettled {
		if !u.underWay && c.mayArrive(now, u) {
			return AckBarred, 0
		}
		underWay = underWay || u.underWay
	}
	if underWay {
		r.ackWaiting = true
		return AckAfterStarts, 0
	}
	r.passLostAck()
	r.ackUnderWay, r.sentAck = true, number
	return AckReady, number
}

// passLostAck makes further calls carry a higher token than an acknowledgement that may still be on its way.
func (r *runner) passLostAck() {
	if r.ackLost {
		r.ackLost = false
		r.token++
	}
}

// findLostAck records that an acknowledgement without an answer was executed, if the ends are gone from a report of the
// present incarnation.
func (r *runner) findLostAck(rep *Report) {
	if !r.ackLost || slices.ContainsFunc(rep.Ended, func(e ReportedEnd) bool { return e.Number <= r.sentAck }) {
		return
	}
	r.ackLost = false
	r.acknowledgedEnd = max(r.acknowledgedEnd, r.sentAck)
}

// CancelAcknowledgement allows starts again after AckAfterStarts.
func (c *Cell) CancelAcknowledgement(id string) {
	if r := c.runners[id]; r != nil {
		r.ackWaiting = false
	}
}

// EndAcknowledgement records whether an acknowledgement has been answered, or was certainly not executed.
func (c *Cell) EndAcknowledgement(id string, answered bool) {
	r := c.runners[id]
	if r == nil {
		return
	}
	r.ackUnderWay = false
	if !answered {
		r.ackLost = true
		c.event(Event{Kind: EventAckUnanswered, Runner: id, UnansweredAck: r.sentAck, UnansweredStarts: len(r.unsettled)})
	}
}
