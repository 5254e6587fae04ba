package cell

import (
	"slices"
	"time"
)

// These penalties rank a runner behind all others: one outside the rack of a task's data,
// which is worse, one where the task and other runs would slow each other down, and, worst, one on
// which a task of the group failed.
const (
	remotePenaltyMilliCPU       = 1 << 40
	interferencePenaltyMilliCPU = 1 << 42
	failedPenaltyMilliCPU       = 1 << 44
)

// placeTasks starts at most the given number of waiting tasks of a group one by one, each on the runner that it leaves
// with the least CPU, so that large tasks find capacity elsewhere.
func (c *Cell) placeTasks(now time.Time, g *group, most int, d *Decisions) {
	candidates := c.eligible(now, g, func(r *runner) bool { _, ok := g.ticketFor(now, r); return ok })
	if len(candidates) == 0 {
		return
	}
	rule := c.speedRule(now, g)
	candidates, held := rule.filter(candidates)
	if held {
		defer c.noteHeld(now, g)
	}
	waiting := c.waitingWithinLimit(g)
	for _, index := range waiting[:min(len(waiting), most)] {
		if len(d.Starts) >= c.maxStarts {
			c.startsHeldBack = true
			return
		}
		if bound := c.boundRunner(g.taskRef(index)); bound != "" {
			if r := c.bestFit(g, only(candidates, bound), &rule); r != nil {
				c.orderStart(now, g, index, r, d)
			}
			continue
		}
		r := c.bestFit(g, candidates, &rule)
		if r == nil {
			return
		}
		c.orderStart(now, g, index, r, d)
	}
}

// only returns the runner with the given id, if it is among the candidates.
func only(candidates []*runner, id string) []*runner {
	i := slices.IndexFunc(candidates, func(r *runner) bool { return r.info.ID == id })
	if i < 0 {
		return nil
	}
	return candidates[i : i+1]
}

func (c *Cell) bestFit(g *group, candidates []*runner, rule *speedRule) *runner {
	var best *runner
	bestLeft := int64(1 << 62)
	partners := c.interference.partnersOf(g)
	for _, r := range candidates {
		if !g.claim().Fits(r.available) {
			continue
		}
		if g.spec.MaxPerRunner > 0 && g.countOnRunner(r) >= g.spec.MaxPerRunner {
			continue
		}
		left := r.available.MilliCPU - g.spec.Size.MilliCPU + r.interferenceGradeOn(partners)*interferenceGradeMilliCPU
		if g.spec.DataRack != "" && r.info.Rack != g.spec.DataRack {
			left += remotePenaltyMilliCPU
		}
		if g.interferesWith(r) {
			left += interferencePenaltyMilliCPU
		}
		if g.hasFailedOn(r) {
			left += failedPenaltyMilliCPU
		}
		left += rule.penalty(r)
		if left < bestLeft {
			best, bestLeft = r, left
		}
	}
	return best
}
