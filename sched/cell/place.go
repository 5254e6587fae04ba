package cell

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// StartOrder is an order to start a run of a task.
type StartOrder struct {
	Run        *Run
	Payload    string
	Checkpoint string
	Ticket     string
}

// Decisions holds the orders and the advice calls that follow from the present state.
type Decisions struct {
	Starts []StartOrder
	Stops  []StopOrder
	Paces  []PaceOrder
	Advice []AdviceCall
}

// MaxStartsPerDecision keeps a decision short; the next decision continues.
const MaxStartsPerDecision = 100

const (
	// groupRetryInterval is how often a group that found no capacity is tried again even if
	// no runner that it may use has gained any: capacity that was reserved for others may
	// be available again.
	groupRetryInterval = 100 * time.Millisecond
)

// Decide returns the orders and advice calls that are due now; wall is the time of day,
// which due times refer to.
func (c *Cell) Decide(now, wall time.Time) Decisions {
	var d Decisions
	c.decision++
	c.refreshFreeIndex(now)
	c.refreshSpeedSets(wall)
	c.nameOrder.reset()
	c.freedCPU.add(now, c.free.freedMilliCPU)
	c.sortNewlyStartable(now, wall)
	c.refreshUnseenUsage(now)
	clear(c.poolRooms)
	front, sweep := c.groupsToConsider(now, wall)
	c.applyReservations(now)
	demands := make(map[runnerClass]*demand)
	c.lookaheadTasks, c.startsHeldBack = 0, false
	for _, part := range [...][]*group{front, sweep} {
		for _, g := range part {
			if len(d.Starts) >= MaxStartsPerDecision {
				break
			}
			if !g.hasWaitingTasks() {
				continue
			}
			c.refreshIdleWait(now, wall, g)
			n := g.waitingTasks
			if g.withinLimitIn != c.decision {
				if c.limitBlocks(now, wall, g) {
					c.releaseReservation(g)
					continue
				}
				n = c.startsWithinLimit(g)
			}
			if !g.idle.overdue && c.leavesRoom(g) {
				// The group must not keep capacity or the advisor from others.
				c.releaseReservation(g)
				continue
			}
			inLookahead := c.withinLookahead(now, g, n, c.demandOf(g, demands))
			c.decideGroup(now, wall, g, inLookahead, &d)
			if inLookahead && c.openExcess > 0 {
				c.countAwaited(now, g)
			}
		}
	}
	c.startCopies(now, &d)
	if !c.startsPaused {
		d.Starts = append(d.Starts, c.takeRepeats(now)...)
	}
	c.recordStarts(now, d.Starts)
	c.recordEntitledStarts(now, d.Starts)
	d.Stops = c.TakeStops()
	d.Paces, c.paces = c.paces, nil
	return d
}

// decideGroup starts tasks of a group, or reserves capacity and requests advice for it.
func (c *Cell) decideGroup(now, wall time.Time, g *group, inLookahead bool, d *Decisions) {
	if now.Before(g.pausedUntil) || wall.Before(g.due.Add(-beginMarkLead)) || (!inLookahead && !g.begun) {
		return
	}
	c.markBegun(g)
	if wall.Before(g.due) {
		return
	}
	if g.queue.Advice != nil && g.advice.asked == nil {
		if inLookahead {
			c.requestAdvice(now, g, d)
		}
		return
	}
	permitted := c.permittedRunnerSet(g)
	if now.Before(g.retryAt) && !c.anyGainedCapacity(permitted) {
		c.deductReservation(g)
		return
	}
	c.returnReservation(g)
	if len(d.Starts) >= c.maxStarts {
		// The tasks wait for the link and not for capacity, so nothing is reserved.
		c.startsHeldBack = true
		if inLookahead || len(g.reservedRunners) > 0 {
			c.requestAdvice(now, g, d)
		}
		c.deductReservation(g)
		return
	}
	waiting := g.waitingTasks
	c.place(now, g, waiting, d)
	if g.waitingTasks == waiting || g.spec.LongRunning {
		if passed := c.passableReservations(now, g); len(passed) > 0 {
			for _, o := range passed {
				c.returnReservation(o)
				defer c.deductReservation(o)
			}
			c.placeBesideReservations(now, g, passed, d)
		}
	}
	if g.waitingTasks == 0 {
		return
	}
	if g.spec.Gang && (inLookahead || len(g.reservedRunners) > 0) && !now.Before(g.replanAt) && !g.committedToReservation(now) {
		c.reserve(now, g)
	}
	if inLookahead || len(g.reservedRunners) > 0 {
		c.requestAdvice(now, g, d)
	}
	if len(g.reservedRunners) > 0 {
		c.updateReservedFrom(now, g)
	}
	c.deductReservation(g)
	if g.beginMarkStored() && len(d.Starts) < c.maxStarts {
		g.retryAt = now.Add(groupRetryInterval)
	}
}

// place starts at most the given number of tasks of a group, a gang as a whole, where it may start and the available capacity
// suffices.
func (c *Cell) place(now time.Time, g *group, most int, d *Decisions) {
	switch {
	case g.waitingTasks == 0 || !g.beginMarkStored() || !g.mayHaveTickets(now) || !c.anyRunnerMayFit(g.claim(), c.permittedRunnerSet(g)):
	case g.spec.Gang:
		c.placeGang(now, g, d)
	default:
		c.placeTasks(now, g, most, d)
	}
}

// claim returns the capacity that a task of the group occupies.
func (g *group) claim() model.Resources { return g.spec.claim() }

// fitsEmptyRunner reports whether the runner has the required label and could run a task of
// the group if it were empty.
func (g *group) fitsEmptyRunner(r *runner) bool {
	return g.claim().Fits(r.info.Capacity) && (g.spec.RunnerLabel == "" || r.hasLabel(g.spec.RunnerLabel))
}

// eligible returns the runners on which a task of the group may start now. The result is valid
// until the next call.
func (c *Cell) eligible(now time.Time, g *group, permitted func(*runner) bool) []*runner {
	out := c.candidateBuf[:0]
	claim := g.claim()
	c.eachRunnerThatMayFit(claim, c.permittedRunnerSet(g), func(r *runner) bool {
		switch {
		case r.info.Pool != g.job.Pool || !claim.Fits(r.available) || !g.fitsEmptyRunner(r):
		case g.avoids(now, r):
		case permitted(r):
			out = append(out, r)
		}
		return true
	})
	c.candidateBuf = out
	return out
}

// countOnRunner counts the tasks of the group that run on a runner.
func (g *group) countOnRunner(r *runner) int {
	n := 0
	for i := range g.tasks {
		for _, run := range g.tasks[i].liveRuns {
			if run.Runner == r.info.ID {
				n++
			}
		}
	}
	return n
}

func (g *group) waitingIndexes() []int {
	var out []int
	for i := range g.tasks {
		if !g.tasks[i].done && len(g.tasks[i].liveRuns) == 0 {
			out = append(out, i)
		}
	}
	return out
}

// orderStart adds the order to start a task on a runner to the decisions.
func (c *Cell) orderStart(now time.Time, g *group, index int, r *runner, d *Decisions) {
	t := &g.tasks[index]
	execution := max(t.lastExecution+1, c.cfg.FirstExecution)
	checkpoint := t.checkpoint
	if g.spec.Gang {
		if index == 0 {
			g.gangExecution = max(g.gangExecution+1, c.cfg.FirstExecution)
		}
		execution, checkpoint = g.gangExecution, g.gangCheckpoint
	} else if repeated := c.executionToRepeat(g, index); repeated != 0 {
		execution = repeated
	}
	t.lastExecution = max(t.lastExecution, execution)
	run := &Run{
		Task: g.taskRef(index), Execution: execution, Runner: r.info.ID, Incarnation: r.incarnation, Fence: r.token,
		Phase: Sending, Started: now, group: g, claimed: g.claim(), account: g.job.account, size: g.spec.Size, pacePercent: fullPacePercent, resumed: checkpoint != "",
	}
	r.addRun(run)
	c.noteRunAdded(now, r, run)
	c.leastClaims.add(now, run.claimed)
	r.prevFree = r.prevFree.Sub(run.claimed)
	if room := c.poolRooms[r.info.Pool]; room != nil {
		room.freeMilliCPU -= run.claimed.MilliCPU
		room.usedMilliCPU += run.claimed.MilliCPU
	}
	c.setAvailable(r, r.available.Sub(run.claimed))
	t.liveRuns = append(t.liveRuns, run)
	g.waitingTasks--
	c.noteStartSpeed(now, g, run, r)
	value, _ := g.ticketFor(now, r)
	d.Starts = append(d.Starts, StartOrder{Run: run, Payload: g.job.Spec.Payload, Checkpoint: checkpoint, Ticket: value})
}
