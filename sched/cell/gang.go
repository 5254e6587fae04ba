package cell

import (
	"cmp"
	"slices"
	"time"
)

// placeGang starts all tasks of a gang or none.
func (c *Cell) placeGang(now time.Time, g *group, d *Decisions) bool {
	if g.waiting < len(g.tasks) {
		// Runs of an earlier attempt are still ending.
		return false
	}
	plan := c.planGang(g, func(r *runner) bool { _, ok := g.allowed(now, r); return ok })
	if plan == nil {
		return false
	}
	for i, r := range plan {
		c.start(now, g, i, r, d)
	}
	return true
}

// planGang returns a runner for each task, or nil. A gang that is slow across
// racks is planned on one rack only.
func (c *Cell) planGang(g *group, permitted func(*runner) bool) []*runner {
	cands := c.eligible(g, permitted)
	if !g.spec.SameRack {
		return g.fill(cands)
	}
	racks := make(map[string][]*runner)
	var names []string
	for _, r := range cands {
		if racks[r.info.Rack] == nil {
			names = append(names, r.info.Rack)
		}
		racks[r.info.Rack] = append(racks[r.info.Rack], r)
	}
	for _, name := range names {
		if plan := g.fill(racks[name]); plan != nil {
			return plan
		}
	}
	return nil
}

// mostRoom orders runners by the processors that they have left, the most first.
func mostRoom(a, b *runner) int { return cmp.Compare(b.avail.MilliCPU, a.avail.MilliCPU) }

// fill packs the gang onto the runners with the least room first.
func (g *group) fill(cands []*runner) []*runner {
	slices.SortStableFunc(cands, func(a, b *runner) int { return mostRoom(b, a) })
	plan := make([]*runner, 0, len(g.tasks))
	for _, r := range cands {
		avail, n := r.avail, 0
		for len(plan) < len(g.tasks) && g.claim().Fits(avail) {
			if g.spec.MaxPerRunner > 0 && n >= g.spec.MaxPerRunner {
				break
			}
			plan = append(plan, r)
			avail = avail.Sub(g.claim())
			n++
		}
	}
	if len(plan) < len(g.tasks) {
		return nil
	}
	return plan
}

// hold keeps the room that a gang waits for from groups behind it: the runners
// that may run it and have the most room.
func (c *Cell) hold(now time.Time, g *group) bool {
	if g.waiting < len(g.tasks) {
		return false
	}
	cands := c.candidates[:0]
	for _, r := range c.mayRunOn(g) {
		if r.info.Pool == g.job.Pool && r.usable(now) && g.fitsEmpty(r) && !g.avoid[r.info.ID] {
			cands = append(cands, r)
		}
	}
	c.candidates = cands
	if len(cands) == 0 {
		return false
	}
	slices.SortStableFunc(cands, mostRoom)
	left := len(g.tasks)
	for _, r := range cands {
		room, avail := r.info.Capacity, r.avail
		for left > 0 && g.claim().Fits(room) {
			room = room.Sub(g.claim())
			avail = avail.Sub(g.claim())
			left--
		}
		c.setAvail(r, avail)
		if left == 0 {
			return true
		}
	}
	return true
}
