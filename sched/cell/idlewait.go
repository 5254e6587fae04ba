package cell

import (
	"fmt"
	"time"

	"rhubarbstall.example/sched/model"
)

// Reservations and the look-ahead keep capacity for groups that cannot start yet. In a full cell large work would not start
// without them. While most of a pool is free they must not keep it idle, however long a gang has to wait for the rest of its
// capacity: a job of which nothing runs passes a reservation if the gang cannot be expected to start soon, and in any case
// within maxHeldTime. Load: a gang as wide as the cell behind a long batch job, and small jobs after it.

const (
	// maxHeldTime is how long a reservation holds back work that could run. The rest of maxIdleTime is left for the begin mark, a
	// call to the advisor and the start.
	maxHeldTime = maxIdleTime / 3
	// maxYieldTime is how long after its acceptance a job yields to a gang that only work which passed it still delays. A steady
	// stream of jobs that each pass would otherwise keep a wide gang from ever starting. It exceeds the run time of most tasks.
	maxYieldTime = 10 * time.Second
	// idleCheckInterval is how often the free capacity for a waiting group is counted.
	idleCheckInterval = groupRetryInterval
)

// idleWait tells since when a group has waited beside free capacity.
type idleWait struct {
	// since is zero if the group does not wait, or lacks capacity.
	since, checkedAt time.Time
	// overdue tells that the group has waited for maxHeldTime. yields tells that its job is new enough to go on waiting for a
	// gang that other work has passed.
	overdue, yields bool
}

// refreshIdleWait finds out whether a group waits although the capacity for it exists, reserved or not: twice as much as it
// needs, while most of the pool is free and no task of its job runs. For tasks that last, other runs do not matter: the callers
// are without the service until they run.
func (c *Cell) refreshIdleWait(now, wall time.Time, g *group) {
	w := &g.idle
	if w.checkedAt.IsZero() || now.Sub(w.checkedAt) >= idleCheckInterval {
		w.checkedAt = now
		switch {
		case !c.couldStart(now, wall, g):
			w.since = time.Time{}
		case w.since.IsZero():
			w.since = now
		}
	}
	w.overdue = !w.since.IsZero() && now.Sub(w.since) >= maxHeldTime
	w.yields = !g.spec.LongRunning && now.Before(g.job.Accepted.Add(maxYieldTime))
}

// couldStart reports whether nothing but what others keep, of the capacity or of the account's limit, can hold a group back.
func (c *Cell) couldStart(now, wall time.Time, g *group) bool {
	if now.Before(g.pausedUntil) || wall.Before(g.due) || (g.spec.Gang && g.waitingTasks < len(g.tasks)) {
		return false
	}
	if c.startsWithinLimit(g) == 0 && !g.job.account.hasRoomBesideHold(g) {
		return false
	}
	if !g.spec.LongRunning && (!c.poolRoom(g.job.Pool).mostlyFree() || g.job.hasRuns()) {
		return false
	}
	wanted := 2
	if g.spec.Gang {
		wanted = 2 * len(g.tasks)
	}
	return c.hasFreePlaces(now, g, wanted)
}

// hasRuns reports whether a task of the job has a run.
func (j *Job) hasRuns() bool {
	for g := range j.openGroups() {
		if g.openTasks > g.waitingTasks {
			return true
		}
	}
	return false
}

// hasFreePlaces reports whether the runners that may run a group have free capacity, reserved or not, for a number of its
// tasks; within one rack for a gang that is to stay there. The advisor may yet approve those that it was not asked about.
func (c *Cell) hasFreePlaces(now time.Time, g *group, wanted int) bool {
	oneRack, places := c.fitsOneRack(g), make(map[string]int)
	for _, r := range c.sortedRunners {
		refused := g.queue.Advice != nil && g.advice.asked[r.info.ID] && !g.advice.approved[r.info.ID]
		if !r.prevUsable || r.info.Pool != g.job.Pool || refused || !g.claim().Fits(r.prevFree) || !g.fitsEmptyRunner(r) || g.avoids(now, r) {
			continue
		}
		limit := wanted
		if g.spec.MaxPerRunner > 0 {
			limit = min(limit, g.spec.MaxPerRunner-g.countOnRunner(r))
		}
		rack := ""
		if oneRack {
			rack = r.info.Rack
		}
		for left := r.prevFree; limit > 0 && g.claim().Fits(left); limit-- {
			left = left.Sub(g.claim())
			places[rack]++
		}
		if places[rack] >= wanted {
			return true
		}
	}
	return false
}

// holds reports whether the reservation of a gang still keeps its capacity from a group that waits idle: only if the gang is
// expected to start before the group would pass anyway.
func (o *group) holds(now time.Time, g *group) bool {
	until := g.idle.since.Add(maxHeldTime)
	if o.delayedByPassing && g.idle.yields {
		until = later(until, g.job.Accepted.Add(maxYieldTime))
	}
	return now.Before(until) && !o.reservedFrom.After(until)
}

// passableReservations returns the gangs whose reservations a group that waits idle passes.
func (c *Cell) passableReservations(now time.Time, g *group) []*group {
	if g.idle.since.IsZero() {
		return nil
	}
	var out []*group
	for _, o := range c.reservingGangs {
		if o != g && o.reservationDeducted && !o.holds(now, g) {
			out = append(out, o)
		}
	}
	return out
}

// placeBesideReservations starts tasks of a group on capacity that the given gangs have reserved, which must have been returned.
func (c *Cell) placeBesideReservations(now time.Time, g *group, passed []*group, d *Decisions) {
	most := g.waitingTasks
	if !g.spec.Gang && !g.spec.LongRunning && g.claim().MilliCPU > 0 {
		// A wide step must not take all of what is reserved.
		most = min(most, max(1, int(c.poolRoom(g.job.Pool).milliCPUUntilHalf()/g.claim().MilliCPU)))
	}
	before := len(d.Starts)
	c.place(now, g, most, d)
	started := d.Starts[before:]
	for i := range started {
		started[i].Run.passed = true
	}
	if len(started) > 0 {
		c.event(Event{Kind: EventReservationPassed, Task: g.taskRef(0), Count: len(started), Age: now.Sub(g.idle.since), Detail: passed[0].adviceKey()})
	}
}

// updateReservedFrom records when a gang is expected to start on its reserved runners, and whether only runs that passed its
// reservation, or another one, still delay it. The caller must have returned the reservation to the available capacity.
func (c *Cell) updateReservedFrom(now time.Time, g *group) {
	wait := g.reservationFreeAfter(now)
	if g.queue.Advice != nil && !g.committedToReservation(now) {
		wait = max(wait, g.queue.Advice.CallTime(g.runnersPerCall(len(g.reservedRunners))))
	}
	g.reservedFrom = now.Add(wait)
	for r, need := range g.reservedNeeds() {
		if need.Fits(r.available) {
			continue
		}
		withoutPassed := r.available
		for _, run := range r.runs {
			if run.passed {
				withoutPassed = withoutPassed.Add(run.claimed)
			}
		}
		if g.delayedByPassing = need.Fits(withoutPassed); !g.delayedByPassing {
			return
		}
	}
}

// explainReservation returns which reservation holds back a group that waits idle; no reason if none does.
func (c *Cell) explainReservation(now time.Time, g *group) model.Explanation {
	if g.idle.since.IsZero() {
		return model.Explanation{}
	}
	for _, o := range c.reservingGangs {
		if o != g && o.holds(now, g) {
			return model.Explanation{Reason: reasonReserved, Sentence: fmt.Sprintf(
				"%d of %d tasks wait beside free capacity that is reserved for the gang %s, which is expected to start in %s.",
				g.waitingTasks, len(g.tasks), o.adviceKey(), max(0, o.reservedFrom.Sub(now)).Round(100*time.Millisecond))}
		}
	}
	return model.Explanation{}
}
