package cell

import (
	"slices"
	"time"
)

// A few tasks take many times as long as the others of their step and hold up all that depend on it. If the step allows it, a
// second run of such a task starts elsewhere; whichever ends first counts, and the other one is stopped (completeTask). That
// costs capacity, so copies use only what nobody waits for, up to a share of the cell.

const (
	// copyShare is the share of a pool that copies may occupy. If 3% of the tasks take 7 times as long, they occupy 18%
	// of what is in use; a copy of each takes a seventh of that.
	copyShare = 0.05
	// copySpareShare is the share of a pool that must be free beyond what waits and what a copy takes: the next jobs
	// are to start at once.
	copySpareShare = 0.05
	// minEndedShare of the tasks of a step, and minEndedTasks at least, must have ended before a run counts as long.
	minEndedShare, minEndedTasks = 0.5, 2
	// longQuantile is the quantile of the durations of the ended runs of which a long run has taken longFactor times as
	// much. Tasks of a step vary by 0.15 to 0.3, so few others do.
	longQuantile, longFactor = 0.75, 2
	// copyScanInterval is how often runs are checked. It is short compared with the time that a copy saves.
	copyScanInterval = 200 * time.Millisecond
	// maxCopyScan bounds the tasks that a scan looks at; the next one goes on after them.
	maxCopyScan = 2000
	// copyRunnersPerCall is how many runners the advisor is asked about for a copy: one of which the ticket can be used
	// suffices.
	copyRunnersPerCall = 4
)

// stragglers finds the runs that take far longer than the others of their step.
type stragglers struct {
	// groups holds the steps that allow copies and of which enough tasks have ended.
	groups   []*group
	nextScan time.Time
}

// noteSpeculative adds a group to those whose runs are checked once enough of its tasks have ended.
func (c *Cell) noteSpeculative(g *group) {
	if g.spec.Speculative && !g.watched && g.enoughEnded() {
		g.watched = true
		c.stragglers.groups = append(c.stragglers.groups, g)
	}
}

func (g *group) enoughEnded() bool {
	n := min(len(g.tasks), maxComparedRuns)
	return len(g.ended) >= max(minEndedTasks, int(minEndedShare*float64(n)))
}

// startCopies adds orders to start copies to the decisions, after all groups have been placed.
func (c *Cell) startCopies(now time.Time, d *Decisions) {
	s := &c.stragglers
	if len(s.groups) == 0 || now.Before(s.nextScan) || c.startsHeldBack || c.startsPaused {
		return
	}
	s.nextScan = now.Add(copyScanInterval)
	s.groups = slices.DeleteFunc(s.groups, func(g *group) bool { return g.openTasks == 0 || g.job.state.Final() || len(g.ended) == 0 })
	spare := make(map[string]int64)
	scanned := 0
	for n, g := range s.groups {
		if scanned += len(g.tasks); scanned > maxCopyScan && n > 0 {
			s.groups = append(s.groups[n:len(s.groups):len(s.groups)], s.groups[:n]...)
			return
		}
		if now.Before(g.pausedUntil) || !c.runsKnown(g) {
			continue
		}
		limit := g.longDuration()
		for i := range g.tasks {
			if len(d.Starts) >= c.maxStarts {
				return
			}
			if !c.needsCopy(now, g, i, limit) {
				continue
			}
			if _, known := spare[g.job.Pool]; !known {
				spare[g.job.Pool] = c.copyBudget(g.job.Pool, g.claim().MilliCPU)
			}
			if spare[g.job.Pool] >= g.claim().MilliCPU && c.startCopy(now, g, i, d) {
				spare[g.job.Pool] -= g.claim().MilliCPU
			}
		}
	}
}

// longDuration returns the duration above which a run of the group counts as a straggler.
func (g *group) longDuration() time.Duration {
	durations := make([]time.Duration, len(g.ended))
	for i := range g.ended {
		durations[i] = g.ended[i].duration
	}
	slices.Sort(durations)
	return scale(durations[int(longQuantile*float64(len(durations)-1))], longFactor)
}

// needsCopy reports whether the only run of a task is long, and will probably take longer than a copy.
func (c *Cell) needsCopy(now time.Time, g *group, index int, limit time.Duration) bool {
	t := &g.tasks[index]
	if t.done || len(t.liveRuns) != 1 || c.boundRunner(g.taskRef(index)) != "" {
		return false
	}
	run := t.liveRuns[0]
	age := now.Sub(run.confirmedAt)
	if run.Phase != Active || run.orphan || !run.stopSentAt.IsZero() || run.adopted || age < limit {
		return false
	}
	// At a steady pace the rest takes age * (100-percent) / percent; a copy takes up to half of limit.
	return run.percent <= 0 || scale(age, (fullPercent-run.percent)/run.percent) > limit/2
}

// copyBudget returns the CPU of a pool that copies may take now: what is free beyond what waits, within the share
// of the pool. In a small pool one copy at a time may take more than the share.
func (c *Cell) copyBudget(pool string, claim int64) int64 {
	capacity, free, copies := int64(0), int64(0), int64(0)
	for _, r := range c.sortedRunners {
		if r.info.Pool != pool {
			continue
		}
		for _, run := range r.runs {
			if run.isCopy {
				copies += run.claimed.MilliCPU
			}
		}
		if r.prevUsable {
			capacity += r.info.Capacity.MilliCPU
			free += max(0, r.available.MilliCPU)
		}
	}
	for _, groups := range [][]*group{c.newlyStartable, c.backlog.ordered()} {
		for _, g := range groups {
			if g.job.Pool == pool && g.hasWaitingTasks() {
				free -= int64(g.waitingTasks) * g.claim().MilliCPU
			}
		}
	}
	allowed := int64(copyShare*float64(capacity)) - copies
	if copies == 0 {
		allowed = max(allowed, claim)
	}
	return min(allowed, free-int64(copySpareShare*float64(capacity)))
}

// startCopy orders the start of a copy of a task on another runner, or asks the advisor about some. It reports whether it
// ordered a start.
func (c *Cell) startCopy(now time.Time, g *group, index int, d *Decisions) bool {
	if a := g.job.account; a != nil && a.room(g.spec.Size, a.hold.heldFrom(g), 1) == 0 {
		return false
	}
	original := g.tasks[index].liveRuns[0]
	elsewhere := func(r *runner) bool {
		return r.info.ID != original.Runner && !r.speed.slow && !g.hasFailedOn(r)
	}
	candidates := c.eligible(now, g, func(r *runner) bool { _, ok := g.ticketFor(now, r); return ok && elsewhere(r) })
	r := c.bestFit(g, candidates, c.fastestRule(now))
	if r == nil {
		c.requestCopyAdvice(now, g, elsewhere, d)
		return false
	}
	c.event(Event{Kind: EventCopyStarted, Task: original.Task, Execution: original.Execution, Runner: r.info.ID, Age: now.Sub(original.confirmedAt)})
	// orderStart counts the task as one that waited.
	g.waitingTasks++
	c.orderStart(now, g, index, r, d)
	d.Starts[len(d.Starts)-1].Run.isCopy = true
	return true
}

// requestCopyAdvice asks the advisor for tickets for approved runners with room.
func (c *Cell) requestCopyAdvice(now time.Time, g *group, elsewhere func(*runner) bool, d *Decisions) {
	a := &g.advice
	if g.queue.Advice == nil || a.inFlight > 0 || now.Before(a.callAgainAt) || g.hasWaitingTasks() {
		return
	}
	named := c.eligible(now, g, elsewhere)
	if len(named) == 0 {
		a.callAgainAt = now.Add(adviceRetryDelay)
		return
	}
	named = named[:min(len(named), copyRunnersPerCall)]
	call := c.newAdviceCall(now, g, named, len(named))
	call.forCopy = true
	d.Advice = append(d.Advice, call)
}

// copyStillNeeded reports whether the answer to a call for a copy is still of use.
func (call *AdviceCall) copyStillNeeded() bool {
	return call.forCopy && !call.group.job.state.Final() && call.group.openTasks > 0
}
