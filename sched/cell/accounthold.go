package cell

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// An account that is at its limit frees it in the sizes of its smallest tasks, and these take it again, so that a gang or
// a large task would wait forever behind its own account's smaller ones. The oldest of them that the limit keeps from
// starting therefore holds what it needs, and others of the account start only within the rest: at first those that rank
// behind it, later those that are not more urgent as well, since a gang that has become late ranks behind all new work,
// and if it held in vain before, all of them. A hold is bounded, since it leaves part of the limit unused.

const (
	// maxHoldTime is for how long a group holds room in the limit while running tasks have to end: more than the run
	// time of most tasks, which take 1 to 4 s, and less than the 30 s of the slowest.
	maxHoldTime = 10 * time.Second
	// maxHoldTimeWithRoom is the same once less than half of the limit is in use, or the group fits. Waiting tasks of an
	// account that uses less than half of its limit have to run within 3 s.
	maxHoldTimeWithRoom = 2 * time.Second
	// peersBoundAfter is when a hold binds groups that rank before its own. In a second most tasks of the account's urgent
	// work end, so that a gang in time seldom needs more.
	peersBoundAfter = time.Second
	// largeTaskDivisor: a task that needs more of the limit than this part may hold room like a gang.
	largeTaskDivisor = 4
	// holdPause is the time between two holds, in which the account's other tasks start.
	holdPause = 3 * time.Second
	// maxHoldDoublings bounds the growth of both times for a group that held in vain.
	maxHoldDoublings = 5
	// reportedHoldTime is how long a hold lasts before it is logged; most end within the time of one task.
	reportedHoldTime = time.Second
)

// limitHold keeps room in the limit of an account for one of its groups.
type limitHold struct {
	// group holds need of the limit; nil if nothing is held.
	group *group
	need  model.Resources
	// waiting is the number of the group's waiting tasks when the hold began.
	waiting int
	since   time.Time
	// roomSince is since when the group fits the limit, or less than half of it is in use; zero if neither.
	roomSince time.Time
	// pausedUntil is until when nothing may be held. lastGroup is the group that held in vain last, and attempts how often.
	pausedUntil time.Time
	lastGroup   *group
	attempts    int
	reported    bool
	// bindsPeers tells that the hold binds groups of the same or a lower urgency, however they rank.
	bindsPeers bool
	// lasting is what the account's long-running tasks occupied at lastingAt.
	lasting   model.Resources
	lastingAt time.Time
}

// heldFrom returns what a group must leave of the limit to one that ranks before it.
func (h *limitHold) heldFrom(g *group) model.Resources {
	if h.binds(g) {
		return h.need
	}
	return model.Resources{}
}

func (h *limitHold) binds(g *group) bool {
	switch {
	case h.group == nil || h.group == g:
		return false
	case g.idle.overdue && g.job.account.belowHalf() && (h.attempts == 0 || !g.idle.yields):
		// Nothing may wait for long beside free capacity of which the account may use more than it does. New jobs yield to a
		// group that has held in vain.
		return false
	case h.attempts > 0 || h.group.before(g):
		return true
	}
	return h.bindsPeers && g.queue.Priority >= h.group.queue.Priority
}

// noteRoom records that the limit allows a group to start.
func (h *limitHold) noteRoom(now time.Time, g *group) {
	if h.group == g && h.roomSince.IsZero() {
		h.roomSince = now
	}
}

// needOfLimit returns what a group needs of the limit to go on. A task that is larger than the limit needs the others to use
// less than half of it; see room.
func (a *ClientAccount) needOfLimit(g *group) model.Resources {
	if g.spec.Gang {
		return g.spec.Size.Scale(int64(len(g.tasks)))
	}
	if a.places(g.spec.Size, model.Resources{}, 1) > 0 {
		return g.spec.Size
	}
	overHalf := func(limit int64) int64 { return limit - max(limit-1, 0)/2 }
	return model.Resources{MilliCPU: overHalf(a.Limit.MilliCPU), MemoryMB: overHalf(a.Limit.MemoryMB), Accelerators: overHalf(a.Limit.Accelerators)}
}

// hasRoomBesideHold reports whether less than half of the limit is in use, and only a hold can keep a group from starting.
func (a *account) hasRoomBesideHold(g *group) bool {
	n := 1
	if g.spec.Gang {
		n = len(g.tasks)
	}
	return a.belowHalf() && a.room(g.spec.Size, model.Resources{}, n) == n
}

// mayWaitBehindSmaller reports whether smaller tasks of its account could keep a group from starting for ever.
func (a *ClientAccount) mayWaitBehindSmaller(g *group) bool {
	return (g.spec.Gang && len(g.tasks) > 1) || a.places(g.spec.Size, model.Resources{}, largeTaskDivisor) < largeTaskDivisor
}

// holdLimit makes a group that the limit keeps from starting hold what it needs, unless an older one does, or tasks that
// last leave too little of the limit.
func (c *Cell) holdLimit(now time.Time, a *account, g *group) {
	h := &a.hold
	if !a.mayWaitBehindSmaller(g) || now.Before(h.pausedUntil) || (h.group != nil && !g.job.Accepted.Before(h.group.job.Accepted)) {
		return
	}
	if now.Sub(h.lastingAt) > holdPause {
		h.lastingAt, h.lasting = now, c.lastingUsage(a)
	}
	need := a.needOfLimit(g)
	if a.places(need, h.lasting, 1) == 0 {
		return
	}
	if h.lastGroup != g {
		h.lastGroup, h.attempts = nil, 0
	}
	h.group, h.need, h.waiting, h.since, h.roomSince, h.reported, h.bindsPeers = g, need, g.waitingTasks, now, time.Time{}, false, false
}

// updateHold ends the hold of a group that was served or has held for too long.
func (c *Cell) updateHold(now time.Time, a *account) {
	h := &a.hold
	g := h.group
	if g == nil {
		return
	}
	if !g.hasWaitingTasks() || g.waitingTasks < h.waiting {
		h.group, h.lastGroup, h.attempts = nil, nil, 0
		return
	}
	if h.roomSince.IsZero() && a.belowHalf() {
		h.roomSince = now
	}
	age := now.Sub(h.since)
	if age > maxHoldTime<<h.attempts || (!h.roomSince.IsZero() && now.Sub(h.roomSince) > maxHoldTimeWithRoom<<h.attempts) {
		c.event(Event{Kind: EventLimitHoldGivenUp, Account: a.event(), Task: g.taskRef(0), Age: age})
		h.group, h.lastGroup, h.attempts, h.pausedUntil = nil, g, min(h.attempts+1, maxHoldDoublings), now.Add(holdPause)
		return
	}
	h.bindsPeers = age > peersBoundAfter
	if !h.reported && age > reportedHoldTime {
		h.reported = true
		c.event(Event{Kind: EventLimitHeld, Account: a.event(), Task: g.taskRef(0), Age: age})
	}
}

// lastingUsage returns what the account's long-running tasks occupy, which do not end by themselves.
func (c *Cell) lastingUsage(a *account) model.Resources {
	var sum model.Resources
	for _, r := range c.sortedRunners {
		for _, run := range r.runs {
			if run.account == a && run.group != nil && run.group.spec.LongRunning && run.stopSentAt.IsZero() {
				sum = sum.Add(run.size)
			}
		}
	}
	return sum
}
