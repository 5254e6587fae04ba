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
	bound := c.boundMembers(g)
	var plan []*runner
	if bound == nil {
		plan = c.reservedPlan(now, g)
	}
	if plan == nil {
		plan = c.planGang(now, g, bound, func(r *runner) bool { _, ok := g.ticketFor(now, r); return ok })
	}
	if plan == nil {
		return false
	}
	g.reservedRunners, g.delayedByPassing = nil, false
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

// boundMembers returns the runners of the gang members that may start on one runner only, by the index of the task; nil if
// there are none.
func (c *Cell) boundMembers(g *group) map[int]string {
	if len(c.unsettled) == 0 {
		return nil
	}
	var bound map[int]string
	for i := range g.tasks {
		if id := c.boundRunner(g.taskRef(i)); id != "" {
			if bound == nil {
				bound = make(map[int]string)
			}
			bound[i] = id
		}
	}
	return bound
}

// planGang returns a runner for each task, or nil if the gang does not fit. It uses runners on which
// a member failed only if the gang does not fit on the others.
func (c *Cell) planGang(now time.Time, g *group, bound map[int]string, permitted func(*runner) bool) []*runner {
	candidates := c.eligible(now, g, permitted)
	oneRack := c.fitsOneRack(g)
	c.gradeInterference(g, candidates)
	if bound != nil {
		return g.planOn(candidates, bound, oneRack)
	}
	return c.planGangBySpeed(now, g, candidates, func(runners []*runner) []*runner { return g.planBesideFailures(runners, oneRack) })
}

// planBesideFailures plans a gang on the given runners; see planGang.
func (g *group) planBesideFailures(candidates []*runner, oneRack bool) []*runner {
	if len(g.failedOn) == 0 {
		return g.planOn(candidates, nil, oneRack)
	}
	others := make([]*runner, 0, len(candidates))
	for _, r := range candidates {
		if !g.hasFailedOn(r) {
			others = append(others, r)
		}
	}
	if plan := g.planOn(others, nil, oneRack); plan != nil {
		return plan
	}
	return g.planOn(candidates, nil, oneRack)
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
func (g *group) planOn(candidates []*runner, bound map[int]string, oneRack bool) []*runner {
	if !oneRack {
		return g.packGang(candidates, bound)
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
		if plan := g.packGang(racks[name], bound); plan != nil {
			return plan
		}
	}
	return nil
}

// byAvailableCPU orders runners by available CPU, the most first.
func byAvailableCPU(a, b *runner) int { return cmp.Compare(b.available.MilliCPU, a.available.MilliCPU) }

// packGang assigns the tasks of the gang to runners, those with the least interference and then the least available CPU
// first. Bound members are assigned to their runners.
func (g *group) packGang(candidates []*runner, bound map[int]string) []*runner {
	slices.SortStableFunc(candidates, func(a, b *runner) int {
		return cmp.Or(cmp.Compare(a.interferenceGrade, b.interferenceGrade), byAvailableCPU(b, a))
	})
	plan, boundOn := make([]*runner, len(g.tasks)), make(map[string]int)
	for _, id := range bound {
		boundOn[id]++
	}
	next, assigned := 0, 0
	for _, r := range candidates {
		places := g.places(r.available)
		if places < boundOn[r.info.ID] {
			return nil
		}
		for i, id := range bound {
			if id == r.info.ID {
				plan[i] = r
				assigned++
			}
		}
		for places -= boundOn[r.info.ID]; places > 0; places-- {
			for next < len(plan) && bound[next] != "" {
				next++
			}
			if next == len(plan) {
				break
			}
			plan[next] = r
			assigned++
			next++
		}
	}
	if assigned < len(plan) {
		return nil
	}
	return plan
}
