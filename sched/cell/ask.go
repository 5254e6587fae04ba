package cell

import (
	"slices"
	"time"
)

// advise asks for permissions: first for enough runners to know where the group
// may run, then again for the planned ones when their tickets have run out.
func (c *Cell) advise(now time.Time, g *group, d *Decisions) {
	a := &g.advice
	if g.queue.Advice == nil || a.inFlight || now.Before(a.next) {
		return
	}
	var names []string
	switch {
	case a.asked == nil:
		names = c.nameRunners(now, g)
	case !g.marked(), g.hasTickets(now):
		return
	default:
		names = c.renewals(g)
		if len(names) == 0 && (!c.approvedRoom(now, g, spareRoom) || c.heldUp(now, g)) {
			names = c.nameRunners(now, g)
		}
		if len(names) == 0 && !c.approvedRoom(now, g, 1) {
			// Every runner is known; those that failed the group are better than none.
			g.avoid = nil
		}
	}
	if len(names) == 0 {
		a.next = now.Add(adviceRetry)
		return
	}
	a.inFlight, a.fullSince = true, time.Time{}
	call := AdviceCall{
		Group: g.key(), Runners: names, Expected: g.queue.Advice.CallTime(len(names)),
		Urgent: g.queue.Priority == 0, Rank: g.rank, Since: now,
		group: g, lives: make(map[string]int64, len(names)),
	}
	for _, id := range names {
		call.lives[id] = c.runners[id].life
	}
	d.Advice = append(d.Advice, call)
}

// hasTickets reports whether a ticket of the group is still valid.
func (g *group) hasTickets(now time.Time) bool {
	for _, t := range g.advice.tickets {
		if now.Before(t.until) {
			return true
		}
	}
	return false
}

// spareRoom is how many times a group's approved runners should be able to hold it
// before no more are asked about. A gang that fits onto exactly its approved runners
// waits until all of them are empty, while smaller work keeps coming.
const spareRoom = 3

// approvedRoom reports whether the approved runners, if empty, could hold the group
// the given number of times. Several tasks on one runner count once for a plain step:
// a single runner can be busy for long.
func (c *Cell) approvedRoom(now time.Time, g *group, times int) bool {
	need, perRunner := times, 1
	if g.spec.Gang {
		need, perRunner = times*len(g.tasks), len(g.tasks)
	}
	for _, r := range c.mayRunOn(g) {
		if !r.usable(now) || g.avoid[r.info.ID] {
			continue
		}
		room := r.info.Capacity
		for n := 0; n < perRunner && need > 0 && g.claim().Fits(room); n++ {
			room = room.Sub(g.claim())
			need--
		}
	}
	return need <= 0
}

// fullPatience is how long a group waits for room on the runners that it may use
// before it asks about others; it is a few times as long as an urgent task takes.
const fullPatience = time.Second

// heldUp reports whether the group has waited for its approved runners for a while,
// although a runner that it has not asked about has room now.
func (c *Cell) heldUp(now time.Time, g *group) bool {
	a := &g.advice
	if a.fullSince.IsZero() {
		a.fullSince = now
	}
	if now.Sub(a.fullSince) < fullPatience || now.Before(a.fullNext) {
		return false
	}
	a.fullNext = now.Add(adviceRetry)
	for _, r := range c.order {
		if r.info.Pool == g.job.Pool && r.usable(now) && !a.asked[r.info.ID] && g.fitsEmpty(r) && g.claim().Fits(r.avail) {
			return true
		}
	}
	return false
}

// renewals returns the approved runners for which new tickets would let the group
// start now.
func (c *Cell) renewals(g *group) []string {
	permitted := func(*runner) bool { return true }
	var chosen []*runner
	if g.spec.Gang {
		if g.waiting < len(g.tasks) {
			return nil
		}
		chosen = c.planGang(g, permitted)
	} else {
		chosen = c.eligible(g, permitted)
		slices.SortStableFunc(chosen, mostRoom)
		chosen = chosen[:min(len(chosen), g.waiting+2)]
	}
	var ids []string
	seen := make(map[string]bool)
	for _, r := range chosen {
		if !seen[r.info.ID] {
			seen[r.info.ID] = true
			ids = append(ids, r.info.ID)
		}
	}
	return ids
}
