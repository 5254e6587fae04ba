package cell

import (
	"slices"
	"time"
)

// handleEnd handles the reported end of a run.
func (c *Cell) handleEnd(now time.Time, r *runner, e *ReportedEnd) {
	run := r.runs[runKey{e.Task, e.Execution}]
	c.closeExecution(r.info.ID, runKey{e.Task, e.Execution})
	j := c.jobs[e.Task.Job]
	var g *group
	if j != nil {
		g = j.group(e.Task.Occurrence, e.Task.Step)
	}
	if run != nil {
		r.removeRun(run)
		c.noteRunRemoved(now, r, run)
	}
	if g == nil || e.Task.Index >= len(g.tasks) {
		end := unsavedEnd{number: e.Number}
		if j != nil {
			// The end may be that of a finished occurrence, which the store does not know of yet.
			end.job, end.version = j, j.version
		}
		if run != nil && run.group != nil {
			c.detachRun(now, run.group, e.Task.Index, run)
		}
		r.unsavedEnds = append(r.unsavedEnds, end)
		return
	}
	if run != nil && run.group == g && e.Kind == EndDone {
		g.noteEndedRun(now, run)
		c.noteSpeculative(g)
	}
	c.event(Event{Kind: EventRunEnded, Task: e.Task, Execution: e.Execution, Runner: r.info.ID, Detail: string(e.Kind), Age: runAge(now, run)})
	c.applyEnd(now, r, g, e)
	c.detachRun(now, g, e.Task.Index, run)
	if g.spec.Gang && run != nil && !run.orphan && !run.gangAssembled && e.Kind != EndDone {
		// Members of a gang that never assembled do not end by themselves when one ends;
		// they wait for it.
		c.stopGang(now, g)
	}
	r.unsavedEnds = append(r.unsavedEnds, unsavedEnd{number: e.Number, job: j, version: j.version})
}

func runAge(now time.Time, run *Run) time.Duration {
	if run == nil {
		return 0
	}
	return now.Sub(run.Started)
}

// applyEnd updates a task after the end of one of its runs.
func (c *Cell) applyEnd(now time.Time, r *runner, g *group, e *ReportedEnd) {
	t := &g.tasks[e.Task.Index]
	t.lastExecution = max(t.lastExecution, e.Execution)
	if g.job.state.Final() {
		return
	}
	if e.Checkpoint != "" {
		g.setCheckpoint(e.Task.Index, e.Checkpoint)
	}
	switch e.Kind {
	case EndDone:
		r.failuresInRow = 0
		if g.spec.LongRunning {
			return
		}
		c.completeTask(now, g, e.Task.Index)
	case EndFailed:
		c.handleFailedTask(now, r, g, e)
	default:
		if e.Checkpoint != "" {
			c.markDirty(g.job)
		}
	}
}

// completeTask marks a task as done and stops its other runs. The members of a gang end
// together, so the end of one marks all of them as done.
func (c *Cell) completeTask(now time.Time, g *group, index int) {
	if g.tasks[index].done {
		return
	}
	first, last := index, index+1
	if g.spec.Gang {
		first, last = 0, len(g.tasks)
	}
	for i := first; i < last; i++ {
		t := &g.tasks[i]
		if t.done {
			continue
		}
		t.done = true
		g.openTasks--
		if len(t.liveRuns) == 0 {
			g.waitingTasks--
		}
		if !g.spec.Gang {
			for _, other := range append([]*Run(nil), t.liveRuns...) {
				if other.Runner != "" && other.Phase != Stopping {
					c.stopRunIfPresent(now, other)
				}
			}
		}
	}
	c.markDirty(g.job)
	if g.openTasks == 0 {
		c.observeSamples(now, g.takeSamples())
		c.handleStepDone(now, g.job, g.occurrence, g.step)
	}
}

// stopRunIfPresent stops a run unless it has been removed from its runner, as a run that
// has ended is.
func (c *Cell) stopRunIfPresent(now time.Time, run *Run) {
	if r := c.runners[run.Runner]; r != nil && r.runs[runKey{run.Task, run.Execution}] == run {
		c.orderStop(now, run)
	}
}

func (c *Cell) handleFailedTask(now time.Time, r *runner, g *group, e *ReportedEnd) {
	c.countRunnerFailure(now, r, g)
	g.recordFailureOn(now, r)
	if g.spec.LongRunning || !g.countFailure(e) {
		return
	}
	c.markDirty(g.job)
	if g.failedAttempts(e.Task.Index) >= max(1, g.queue.MaxAttempts) {
		c.endJob(now, g.job, Failed)
	}
}

// countFailure counts each failed execution once; it reports whether this one was new.
func (g *group) countFailure(e *ReportedEnd) bool {
	failures := &g.tasks[e.Task.Index].failedExecutions
	if g.spec.Gang {
		failures = &g.gangFailed
	}
	if slices.Contains(*failures, e.Execution) {
		return false
	}
	*failures = append(*failures, e.Execution)
	return true
}

// detachRun removes a run from its task, which waits again if it has no other run.
func (c *Cell) detachRun(now time.Time, g *group, index int, run *Run) {
	if run == nil {
		return
	}
	if len(g.tasks) == 0 {
		// The job has ended, and its tasks were dropped once the final state was stored.
		return
	}
	t := &g.tasks[index]
	for i, x := range t.liveRuns {
		if x == run {
			t.liveRuns = append(t.liveRuns[:i], t.liveRuns[i+1:]...)
			if len(t.liveRuns) == 0 && !t.done {
				g.waitingTasks++
				c.addStartable(g)
			}
			break
		}
	}
}

// handleLostRun handles a run that certainly no longer exists and whose end was not
// reported.
func (c *Cell) handleLostRun(now time.Time, r *runner, run *Run, reason string) {
	r.removeRun(run)
	c.noteRunRemoved(now, r, run)
	c.event(Event{Kind: EventRunLost, Task: run.Task, Execution: run.Execution, Runner: r.info.ID, Detail: reason, Age: runAge(now, run)})
	if run.group == nil {
		return
	}
	if run.checkpoint != "" {
		run.group.setCheckpoint(run.Task.Index, run.checkpoint)
	}
	c.detachRun(now, run.group, run.Task.Index, run)
	if run.group.spec.Gang && !run.orphan {
		c.stopGang(now, run.group)
	}
}

func (g *group) setCheckpoint(index int, checkpoint string) {
	if g.spec.Gang {
		g.gangCheckpoint = checkpoint
		return
	}
	if len(g.tasks) > 0 {
		g.tasks[index].checkpoint = checkpoint
	}
}
