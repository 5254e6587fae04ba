package cell

import (
	"cmp"
	"slices"
	"time"

	"rhubarbstall.example/sched/model"
)

// placeGang starts all tasks of a gang or none of them, and reports whether it started them.
func (c *Cell) placeGang(now time.Time, g *group, d *Decisions) bool {
	if g.waitingTasks < len(g.tasks) {
		// Runs of an earlier attempt have not ended yet.
		return false
	}
	plan := c.reservedPlan(now, g)
	if plan == nil {
		plan = c.planGang(now, g, func(r *runner) bool { _, ok := g.ticketFor(now, r); return ok })
	}
	if plan == nil {
		return false
	}
	g.reservedRunners = nil
	for i, r := range plan {
		c.orderStart(now, g, i, r, d)
	}
	return true
}

// reservedPlan returns the reserved runners of a gang if it can start there now; nil if
// not.
func (c *Cell) reservedPlan(now time.Time, g *group) []*runner {
	if len(g.reservedRunners) == 0 || g.reservationFreeAfter(now) > 0 {
		return nil
	}
	for _, r := range g.reservedRunners {
		if _, ok := g.ticketFor(now, r); !ok {
			return nil
		}
	}
	return g.reservedRunners
}

// planGang returns a runner for each task, or nil if the gang does not fit. It uses runners on which
// a member failed only if the gang does not fit on the others.
func (c *Cell) planGang(now time.Time, g *group, permitted func(*runner) bool) []*runner {
	candidates := c.eligible(now, g, permitted)
	oneRack := c.fitsOneRack(g)
	if len(g.failedOn) == 0 {
		return g.planOn(candidates, oneRack)
	}
	others := make([]*runner, 0, len(candidates))
	for _, r := range candidates {
		if !g.hasFailedOn(r) {
			others = append(others, r)
		}
	}
	if plan := g.planOn(others, oneRack); plan != nil {
		return plan
	}
	return g.planOn(candidates, oneRack)
}

// fitsOneRack reports whether a gang is to be placed within one rack: it is slow if it spans racks, and a
// rack could hold all of it if it were empty. No runner is left out for a while only, such as one that is
// suspect, so that the answer rarely changes.
func (c *Cell) fitsOneRack(g *group) bool {
	if !g.spec.SameRack {
		return false
	}
	places := make(map[string]int)
	for _, r := range c.sortedRunners {
		refused := g.queue.Advice != nil && g.advice.asked[r.info.ID] && !g.advice.approved[r.info.ID]
		if !r.listed || r.info.Pool != g.job.Pool || refused || !g.fitsEmptyRunner(r) {
			continue
		}
		places[r.info.Rack] += g.places(r.info.Capacity)
		if places[r.info.Rack] >= len(g.tasks) {
			return true
		}
	}
	return false
}

// places returns how many tasks of a gang the capacity of one runner holds, at most all of them.
func (g *group) places(left model.Resources) int {
	limit := len(g.tasks)
	if g.spec.MaxPerRunner > 0 {
		limit = min(limit, g.spec.MaxPerRunner)
	}
	n := 0
	for ; n < limit && g.claim().Fits(left); n++ {
		left = left.Sub(g.claim())
	}
	return n
}

// planOn plans a gang on the given runners, if oneRack is set within one rack; see planGang.
func (g *group) planOn(candidates []*runner, oneRack bool) []*runner {
	if !oneRack {
		return g.packGang(candidates)
	}
	racks := make(map[string][]*runner)
	var names []string
	for _, r := range candidates {
		if racks[r.info.Rack] == nil {
			names = append(names, r.info.Rack)
		}
		racks[r.info.Rack] = append(racks[r.info.Rack], r)
	}
	for _, name := range names {
		if plan := g.packGang(racks[name]); plan != nil {
			return plan
		}
	}
	return nil
}

// byAvailableCPU orders runners by available CPU, the most first.
func byAvailableCPU(a, b *runner) int { return cmp.Compare(b.available.MilliCPU, a.available.MilliCPU) }

// packGang assigns the tasks of the gang to runners, those with the least available CPU
// first.
func (g *group) packGang(candidates []*runner) []*runner {
	slices.SortStableFunc(candidates, func(a, b *runner) int { return byAvailableCPU(b, a) })
	plan := make([]*runner, 0, len(g.tasks))
	for _, r := range candidates {
		left, n := r.available, 0
		for len(plan) < len(g.tasks) && g.claim().Fits(left) {
			if g.spec.MaxPerRunner > 0 && n >= g.spec.MaxPerRunner {
				break
			}
			plan = append(plan, r)
			left = left.Sub(g.claim())
			n++
		}
	}
	if len(plan) < len(g.tasks) {
		return nil
	}
	return plan
}
