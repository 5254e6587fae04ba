package cell

import "time"

const (
	// quarantineFailures is the number of failures in a row after which a runner gets no
	// new work for quarantineTime. A single failure is mostly the fault of the task.
	quarantineFailures = 2
	// quarantineTime is below maxIdleTime, since the runner may be the only one that can run a task.
	quarantineTime = 2500 * time.Millisecond
	// minStallTime plus a twentieth of its estimate is how long a run may show no progress:
	// runs report whole percents, so the progress of long runs changes less often.
	minStallTime = 2500 * time.Millisecond
	// maxStallDoublings bounds the stall limit to 160 s for short estimates, in which a task of four hours
	// progresses by one percent.
	maxStallDoublings = 6
	// fullPercent is the progress of a run that has finished its work.
	fullPercent = 100
)

// countRunnerFailure counts a failed run against its runner.
func (c *Cell) countRunnerFailure(now time.Time, r *runner, g *group) {
	if g.failedElsewhere(r.info.ID) {
		// The task failed on other runners too, so the failure says nothing about this one.
		return
	}
	r.failuresInRow++
	if r.failuresInRow >= quarantineFailures {
		r.quarantinedUntil = now.Add(quarantineTime)
		c.event(Event{Kind: EventRunnerQuarantined, Runner: r.info.ID, Count: r.failuresInRow, Detail: "runs failed"})
	}
}

func (g *group) failedElsewhere(id string) bool {
	for other := range g.failedOn {
		if other != id {
			return true
		}
	}
	return false
}

// stopStalledRuns stops runs that make no progress, so that they start on another runner,
// and quarantines their runner. Best-effort runs are left alone: they may make no progress
// while other tasks use the runner or while their pace is lowered.
func (c *Cell) stopStalledRuns(now time.Time, r *runner) {
	for _, run := range r.sortedRuns() {
		c.noteEarlyNeighbors(now, r, run)
		if run.Phase != Active || run.group == nil || run.group.spec.LongRunning || run.isBestEffort() || run.lastProgressAt.IsZero() {
			continue
		}
		limit := run.stallLimit()
		if now.Sub(run.lastProgressAt) < limit || r.lastReportAt.Sub(run.lastProgressAt) < limit {
			continue
		}
		g := run.group
		if g.spec.Gang && (run.percent >= fullPercent || !g.allMembersActive()) {
			// A member that has finished its share waits for the others.
			continue
		}
		if t := run.task(); t != nil {
			t.stalls++
		}
		c.event(Event{Kind: EventRunStalled, Task: run.Task, Execution: run.Execution, Runner: r.info.ID, Age: now.Sub(run.lastProgressAt)})
		g.recordFailureOn(now, r)
		r.quarantinedUntil = now.Add(quarantineTime)
		c.orderStop(now, run)
	}
}

// stallLimit returns how long a run may show no progress. It doubles with each run of the task that was stopped
// for it, and the part for whole percents grows with the slowdown of its runner: the task may take so much longer
// than estimated that its progress changes this rarely.
func (r *Run) stallLimit() time.Duration {
	limit := minStallTime + scale(r.group.spec.Estimate/20, max(1, r.durationFactor()))
	if t := r.task(); t != nil {
		limit <<= min(t.stalls, maxStallDoublings)
	}
	return limit
}

// allMembersActive reports whether every member of a gang is confirmed; none makes progress
// before that.
func (g *group) allMembersActive() bool {
	for i := range g.tasks {
		if len(g.tasks[i].liveRuns) == 0 || g.tasks[i].liveRuns[0].Phase != Active {
			return false
		}
	}
	return true
}
