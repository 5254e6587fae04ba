package cell

import (
	"time"
)

// StopOrder is an order to stop a run.
type StopOrder struct {
	Run *Run
}

// orderStop orders the runner to stop a run. The run occupies capacity until the runner
// reports its end, acknowledges the stop and afterwards no longer lists the run, or is silent
// until the lease expires.
func (c *Cell) orderStop(now time.Time, run *Run) {
	if run.Phase == Active {
		run.Phase = Stopping
	}
	if run.Phase == Sending || !run.stopSentAt.IsZero() {
		// The outcome of the start order must be known first; RecordStartOutcome then stops
		// the run.
		if run.Phase == Sending {
			run.orphan = true
		}
		return
	}
	run.stopSentAt = now
	c.closeExecution(run.Runner, runKey{run.Task, run.Execution})
	c.stops = append(c.stops, StopOrder{Run: run})
}

// retryStops repeats stop orders that got no answer, and stops gangs that are not assembled
// in time.
func (c *Cell) retryStops(now time.Time, r *runner) {
	for _, run := range r.runs {
		c.stopIncompleteGang(now, run)
		if !run.stopSentAt.IsZero() && run.stopAckedAt.IsZero() && now.Sub(run.stopSentAt) > 2*c.cfg.OrderTimeout {
			run.stopSentAt = now
			c.stops = append(c.stops, StopOrder{Run: run})
		}
	}
}

// RecordStopAck records that the runner acknowledged a stop order; from then on it does not
// start the run, even if the start order arrives later.
func (c *Cell) RecordStopAck(now time.Time, run *Run) {
	if run.stopAckedAt.IsZero() {
		run.stopAckedAt = now
	}
}

// StartOutcome is what the caller knows about a start order.
type StartOutcome int

// The outcomes of a start order.
const (
	// StartOK means that the runner accepted the run.
	StartOK StartOutcome = iota
	// StartRefused means that the run was not started and never will be, because the order
	// was not sent or the runner refused it.
	StartRefused
	// StartUnknown means that the runner may start the run now or later.
	StartUnknown
)

// RecordStartOutcome records the outcome of the last order to start a run; see RecordAttempt.
func (c *Cell) RecordStartOutcome(now time.Time, run *Run, outcome StartOutcome, reason string) {
	c.RecordAttempt(now, run, run.attempt, outcome, reason)
}

// RecordAttempt records the outcome of a start order; for StartRefused, reason tells why
// the order was not sent, which leaves attempt at 0, or the runner refused it.
func (c *Cell) RecordAttempt(now time.Time, run *Run, attempt int, outcome StartOutcome, reason string) {
	c.recordAnswer(now, run, attempt, outcome)
	r := c.runners[run.Runner]
	if r == nil || r.runs[runKey{run.Task, run.Execution}] != run {
		return
	}
	switch outcome {
	case StartOK:
		if run.Phase == Sending || run.Phase == OutcomeUnknown {
			c.confirmRun(now, run)
		}
		if run.orphan {
			c.orderStop(now, run)
		}
	case StartRefused:
		if c.mayStartLater(run) {
			c.handleRefusedRepeat(now, run, reason)
			return
		}
		c.handleRefusal(now, r, run, reason)
	case StartUnknown:
		if run.Phase == Sending {
			run.Phase, run.outcomeUnknownSince = OutcomeUnknown, now
			c.holdUnanswered(now, run)
			if run.orphan {
				c.orderStop(now, run)
			}
		}
	}
}

// The reasons for which a start order is stale and must not be sent.
const (
	// staleWithdrawn means that the run is no longer needed or has been removed.
	staleWithdrawn = "withdrawn"
	// StaleLate means that the order waited too long, or that the runner is no longer
	// usable.
	StaleLate = "late"
	// staleTicket means that the ticket has expired.
	staleTicket = "ticket"
)

// maxGangSendDelay is how long the start order of a gang member may wait after the
// decision. In the meantime the other members wait on their runners; they give up after
// 3 s.
const maxGangSendDelay = 800 * time.Millisecond

// StaleStartReason returns why a start order must no longer be sent, or an empty string if
// it may be. The caller asks right before it sends the order: on a busy VM, or behind other
// calls to the runner, an order may wait for seconds. In that time the job may be
// cancelled, the task may be done elsewhere, the runs of the runner may be given up as
// lost, or the gang may be stopped.
func (c *Cell) StaleStartReason(now time.Time, st StartOrder) string {
	run := st.Run
	r := c.runners[run.Runner]
	if r == nil || r.runs[runKey{run.Task, run.Execution}] != run || run.Phase != Sending || run.orphan {
		return staleWithdrawn
	}
	g := run.group
	if g.job.state.Final() || c.jobs[g.job.ID] != g.job || g.tasks[run.Task.Index].done {
		return staleWithdrawn
	}
	if g.spec.Gang && now.Sub(run.Started) > maxGangSendDelay {
		return StaleLate
	}
	ticket, ok := g.ticketFor(now, r)
	if !ok {
		return staleTicket
	}
	if ticket != st.Ticket || r.incarnation != run.Incarnation || run.Fence < r.fence || !r.usable(now) {
		return StaleLate
	}
	return ""
}

// refusedOld is the reason of a runner that knows the execution, or a later one of the task, as stopped or ended.
const refusedOld = "old"

// refusedFence is the reason of a runner that has seen a higher fencing token. If it is not that of a later
// scheduler, the order was sent before a restart of the runner was noticed.
const refusedFence = "fence"

// refusalPause keeps a task from being sent to runners that refuse it in quick succession.
const refusalPause = 100 * time.Millisecond

func (c *Cell) handleRefusal(now time.Time, r *runner, run *Run, reason string) {
	if run.Phase != Sending && run.Phase != OutcomeUnknown {
		return
	}
	g := run.group
	r.removeRun(run)
	c.noteRunRemoved(now, r, run)
	c.detachRun(now, g, run.Task.Index, run)
	g.pauseUntil(now.Add(refusalPause))
	switch reason {
	case staleTicket:
		delete(g.advice.tickets, r.info.ID)
	case "room", "gone", refusedFence, StaleLate, staleWithdrawn:
		// None of these is a fault of the runner.
	default:
		r.quarantinedUntil = now.Add(quarantineTime)
	}
	if g.spec.Gang {
		c.stopGang(now, g)
	}
}

// gangAssemblyTimeout limits the time from the decision to start a gang until all its
// members are confirmed. It leaves time to stop a gang before its members give up: they
// wait 3 s on their runners for the others, and a stop order that has to be repeated once
// takes 1.5 s.
const gangAssemblyTimeout = 1200 * time.Millisecond

// A gang whose members did not all start is retried with exponential backoff, which begins
// at minGangBackoff and is limited to maxGangBackoff: the orders of each attempt slow a
// slow VM down further.
const (
	minGangBackoff = 500 * time.Millisecond
	maxGangBackoff = 8 * time.Second
)

// stopIncompleteGang stops the gang of a run if another member has not started in time or
// can no longer start.
func (c *Cell) stopIncompleteGang(now time.Time, run *Run) {
	g := run.group
	if g == nil || !g.spec.Gang || run.orphan || !run.stopSentAt.IsZero() || (run.gangAssembled && !run.adopted) {
		return
	}
	// A task without a run has no start order on its way either.
	memberMissing := g.waitingTasks > 0 && c.runsKnown(g)
	if memberMissing || (!run.gangAssembled && now.Sub(run.Started) > gangAssemblyTimeout) {
		g.backOffGang(now)
		c.event(Event{Kind: EventIncompleteGangStopped, Task: run.Task, Execution: run.Execution, Runner: run.Runner, Age: now.Sub(run.Started)})
		c.stopGang(now, g)
	}
}

// backOffGang delays the next attempt to start a gang.
func (g *group) backOffGang(now time.Time) {
	pause := min(minGangBackoff<<min(g.incompleteAttempts, 8), maxGangBackoff)
	g.incompleteAttempts++
	g.pauseUntil(now.Add(pause))
}

// pauseUntil keeps a group from starting before the given time.
func (g *group) pauseUntil(at time.Time) {
	if at.After(g.pausedUntil) {
		g.pausedUntil = at
	}
}

// markAssembled marks the runs of a gang as assembled once all of them are confirmed.
func (g *group) markAssembled() {
	if !g.spec.Gang || g.waitingTasks > 0 {
		return
	}
	for i := range g.tasks {
		if len(g.tasks[i].liveRuns) != 1 {
			return
		}
		if run := g.tasks[i].liveRuns[0]; !run.Confirmed() || run.Phase != Active || run.Execution != g.gangExecution {
			return
		}
	}
	g.incompleteAttempts = 0
	for i := range g.tasks {
		g.tasks[i].liveRuns[0].gangAssembled = true
	}
}

// stopGang stops all runs of a gang.
func (c *Cell) stopGang(now time.Time, g *group) {
	for i := range g.tasks {
		for _, run := range append([]*Run(nil), g.tasks[i].liveRuns...) {
			c.orderStop(now, run)
		}
	}
}

// TakeStops returns the stop orders since the last call.
func (c *Cell) TakeStops() []StopOrder {
	s := c.stops
	c.stops = nil
	return s
}
