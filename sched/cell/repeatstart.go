package cell

import (
	"slices"
	"time"
)

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

// executionToRepeat returns the execution with which a task of a group starts again because an order with it may still be
// carried out; 0 if it takes the next one. Failed executions are counted by their number, so none is used again.
func (c *Cell) executionToRepeat(g *group, index int) int64 {
	var execution int64
	for _, u := range c.unsettled[g.taskRef(index)] {
		if u.closed || (execution != 0 && u.key.execution != execution) || slices.Contains(g.tasks[index].failedExecutions, u.key.execution) {
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

// takeRepeats returns the orders to repeat since the last call. A run that is not needed any more is stopped instead, since
// its first order may still be carried out.
func (c *Cell) takeRepeats(now time.Time) []StartOrder {
	var starts []StartOrder
	for _, run := range c.repeats {
		r := c.runners[run.Runner]
		switch t := run.task(); {
		case run.Phase != Sending || r == nil || r.runs[runKey{run.Task, run.Execution}] != run:
		case run.orphan || run.unneeded() || t == nil:
			run.Phase, run.outcomeUnknownSince = OutcomeUnknown, now
			c.orderStop(now, run)
		default:
			starts = append(starts, StartOrder{Run: run, Payload: run.group.job.Spec.Payload, Checkpoint: t.checkpoint})
		}
	}
	c.repeats = nil
	return starts
}

// handleRefusedRepeat handles the refusal of a start order while another order of the same run may still be carried out.
// The run keeps its capacity; the next report tells whether it exists.
func (c *Cell) handleRefusedRepeat(now time.Time, run *Run, reason string) {
	if run.Phase != Sending {
		return
	}
	run.Phase, run.outcomeUnknownSince = OutcomeUnknown, now
	run.refusedAsOld = run.refusedAsOld || reason == refusedOld
	if run.orphan {
		c.orderStop(now, run)
	}
}
