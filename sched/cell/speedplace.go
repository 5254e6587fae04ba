package cell

import (
	"math/bits"
	"slices"
	"time"

	"rhubarbstall.example/sched/model"
)

// Work goes to fast runners first. A slow runner is as good as any for work that ends in time there. Other work is
// kept from it as long as a runner of usual speed can be expected to be free soon, and goes there if that is not
// so: late on a slow runner is better than later.

const (
	// maxSpeedWait is how long a step waits in all for a faster runner while a slow one has room for it.
	maxSpeedWait = time.Second
	// looseFactor times its estimate is what a task may take on a slow runner and still end in time, if it is to prefer
	// slow runners: estimates are off by a factor of up to 1.9, and tasks of a step by 0.3.
	looseFactor = 2.5
	// probeInterval is how often one of the slow runners that have no work gets a task of any kind, so that its recovery is
	// noticed. It is for the whole cell: each such task may be the one that makes its job late.
	probeInterval = time.Second
	// slowPenaltyMilliCPU ranks a slow runner behind those outside the rack of the data, and notSlowPenaltyMilliCPU any
	// other behind slow ones for work with much slack, if neither is outside that rack.
	slowPenaltyMilliCPU    = 1 << 43
	notSlowPenaltyMilliCPU = 1 << 38
	// usualPenaltyMilliCPU ranks a runner of usual speed behind fast ones.
	usualPenaltyMilliCPU = 1 << 37
)

// speedDecision is what the decision in progress knows about slow runners; it is empty while there are none.
type speedDecision struct {
	wall time.Time
	// notSlow and slow hold the usable runners of usual speed or fast and the slow ones, of which lowestSlowdown is the lowest
	// slowdown.
	notSlow, slow  runnerSet
	lowestSlowdown float64
	// slowFreeMilliCPU is the free CPU of slow runners, and heldMilliCPU what the groups visited so far need that
	// wait for a faster one.
	slowFreeMilliCPU, heldMilliCPU int64
	// nextProbeAt is when an idle slow runner may get a task of any kind again.
	nextProbeAt time.Time
}

// speedRule tells on which runners the tasks of a group may start because of their speed. The zero value leaves all of them
// equal.
type speedRule struct {
	// cell is nil if no runner is slow or fast.
	cell *Cell
	now  time.Time
	// slack is the time until the group has to start on a runner of usual speed to end in time.
	slack, estimate time.Duration
	// hold is true if a faster runner can be expected to be free soon. Until then, no task starts on a runner where it
	// would end late.
	hold bool
	// probe is true if a task may start on an idle slow runner, so that its duration shows whether the runner has
	// recovered.
	probe bool
}

// speedRule returns the rule of a group in the decision in progress.
func (c *Cell) speedRule(now time.Time, g *group) speedRule {
	if c.slowRunners == 0 {
		if c.fastRunners == 0 {
			return speedRule{}
		}
		return speedRule{cell: c, now: now}
	}
	_, seconds := g.tierAndSlack(g.age(now, c.speed.wall))
	rule := speedRule{cell: c, now: now, slack: time.Duration(seconds * float64(time.Second)), estimate: g.spec.Estimate}
	rule.probe = !g.spec.Gang && !g.spec.LongRunning && !g.spec.BestEffort && len(g.tasks) > 1 && !now.Before(c.speed.nextProbeAt)
	rule.hold = rule.slack >= 0 && !g.promoted && !g.spec.LongRunning && c.fasterExpected(now, g, rule.slack)
	return rule
}

// fastestRule returns a rule by which a task starts on a fast runner if there is room.
func (c *Cell) fastestRule(now time.Time) *speedRule {
	if c.fastRunners == 0 {
		return &speedRule{}
	}
	return &speedRule{cell: c, now: now, slack: -1}
}

// endsInTime reports whether a task that starts now ends in time with a slowdown.
func (rule *speedRule) endsInTime(slowdown float64) bool {
	return rule.slack >= scale(rule.estimate, slowdown-1)
}

// loose reports whether a task that starts now ends in time with a slowdown even if it takes far longer than estimated.
func (rule *speedRule) loose(slowdown float64) bool {
	return rule.slack >= scale(rule.estimate, looseFactor*slowdown-1)
}

// allows reports whether a task of the group may start on a runner, given the speed of the runner.
func (rule *speedRule) allows(r *runner) bool {
	return !rule.hold || !r.speed.slow || rule.endsInTime(r.speed.slowdown) || rule.probes(r)
}

// probes reports whether a task that starts on a slow runner shows whether it has recovered.
func (rule *speedRule) probes(r *runner) bool {
	return rule.probe && r.speed.slow && len(r.runs) == 0 && !rule.now.Before(rule.cell.speed.nextProbeAt)
}

// penalty returns by how much a runner ranks behind others because of its speed.
func (rule *speedRule) penalty(r *runner) int64 {
	switch {
	case rule.cell == nil || rule.probes(r):
		return 0
	case rule.cell.slowRunners == 0 || !r.speed.slow && !rule.loose(rule.cell.speed.lowestSlowdown):
		// Work on fast runners ends soonest, and so leaves the most capacity to the groups after it, which are less urgent.
		if r.speed.fast || rule.cell.fastRunners == 0 {
			return 0
		}
		return usualPenaltyMilliCPU
	case !r.speed.slow && rule.loose(rule.cell.speed.lowestSlowdown):
		return notSlowPenaltyMilliCPU
	case r.speed.slow && !rule.loose(r.speed.slowdown):
		return slowPenaltyMilliCPU
	}
	return 0
}

// filter returns the runners on which a task may start, in their order, and whether any runner was left out.
func (rule *speedRule) filter(candidates []*runner) (allowed []*runner, held bool) {
	if !rule.hold {
		return candidates, false
	}
	allowed = candidates[:0]
	for _, r := range candidates {
		if rule.allows(r) {
			allowed = append(allowed, r)
		} else {
			held = true
		}
	}
	return allowed, held
}

// noteHeld records that tasks of a group wait for a faster runner in the decision in progress.
func (c *Cell) noteHeld(now time.Time, g *group) {
	if g.waitingTasks == 0 || g.heldAt.Equal(now) {
		return
	}
	if g.heldSince.IsZero() {
		g.heldSince = now
	}
	g.heldAt = now
	c.speed.heldMilliCPU += int64(g.waitingTasks) * g.claim().MilliCPU
}

// heldForSpeed reports whether a recent decision kept tasks of the group from slow runners with room.
func (g *group) heldForSpeed(now time.Time) bool {
	return !g.heldAt.IsZero() && now.Sub(g.heldAt) <= 2*groupRetryInterval
}

// fasterExpected reports whether a group can be expected to find a runner of usual speed before its slack and the time that
// it may wait have passed. Runs free capacity at a measured rate, for which the groups that wait before it come first.
func (c *Cell) fasterExpected(now time.Time, g *group, slack time.Duration) bool {
	wait := min(maxSpeedWait, slack)
	if !g.heldSince.IsZero() {
		wait = min(wait, maxSpeedWait-now.Sub(g.heldSince))
	}
	if wait <= 0 {
		return false
	}
	need := c.speed.heldMilliCPU
	if !g.heldAt.Equal(now) {
		need += g.claim().MilliCPU
		if g.spec.Gang {
			need += int64(len(g.tasks)-1) * g.claim().MilliCPU
		}
	}
	freed := c.freedCPU.perSecond*wait.Seconds() + float64(c.free.freeMilliCPU-c.speed.slowFreeMilliCPU)
	return freed*c.notSlowShare(g) >= float64(need)
}

// notSlowShare returns the share of all usable runners that are not slow and may run the group.
func (c *Cell) notSlowShare(g *group) float64 {
	permitted, usable, notSlow := c.permittedRunnerSet(g), 0, 0
	for w, word := range c.speed.notSlow {
		usable += bits.OnesCount64(word | c.speed.slow[w])
		if permitted != nil && g.advice.asked != nil {
			word &= permitted[w]
		}
		notSlow += bits.OnesCount64(word)
	}
	return float64(notSlow) / float64(max(1, usable))
}

// refreshSpeedSets finds the usable runners that are slow, and those that are not, for the decision in progress.
func (c *Cell) refreshSpeedSets(wall time.Time) {
	d := &c.speed
	if c.slowRunners == 0 {
		*d = speedDecision{}
		return
	}
	d.wall, d.lowestSlowdown, d.slowFreeMilliCPU, d.heldMilliCPU = wall, maxSlowdown, 0, 0
	if words := len(c.free.gainedCapacity); len(d.notSlow) != words {
		d.notSlow, d.slow = make(runnerSet, words), make(runnerSet, words)
	}
	clear(d.notSlow)
	clear(d.slow)
	for i, r := range c.sortedRunners {
		switch {
		case !r.prevUsable:
		case r.speed.slow:
			d.slow.add(i)
			d.slowFreeMilliCPU += max(0, r.prevFree.MilliCPU)
			d.lowestSlowdown = min(d.lowestSlowdown, r.speed.slowdown)
		default:
			d.notSlow.add(i)
		}
	}
}

// lookaheadRunners returns the runners that count in the look-ahead of a group, nil for all, and their free CPU.
func (c *Cell) lookaheadRunners(now time.Time, g *group, d *demand) (runnerSet, int64) {
	rule := c.speedRule(now, g)
	if !rule.hold || rule.endsInTime(c.speed.lowestSlowdown) {
		return nil, d.freeMilliCPU
	}
	if !c.anyRunnerMayFit(g.claim(), c.speed.notSlow) && c.anyRunnerMayFit(g.claim(), c.speed.slow) {
		c.noteHeld(now, g)
	}
	return c.speed.notSlow, d.freeMilliCPU - d.slowFreeMilliCPU
}

// eachBySpeed visits the runners like each, but fast runners with room for the claim first, since work ends soonest there, and
// those on which the rule allows no start last, since calls that name them would mostly be wasted.
func (o *nameOrder) eachBySpeed(largest, claim model.Resources, rule *speedRule, visit func(*runner) bool) {
	if rule.cell == nil || !rule.hold && rule.cell.fastRunners == 0 {
		o.each(largest, visit)
		return
	}
	// The runners with room come first in the order. Those of them that are not fast are visited after the last one with
	// room.
	withRoom, notAllowed := o.withRoom[:0], o.notAllowed[:0]
	more, roomLeft := true, rule.cell.fastRunners > 0
	visitWithRoom := func() {
		roomLeft = false
		for _, r := range withRoom {
			if more = visit(r); !more {
				return
			}
		}
	}
	o.each(largest, func(r *runner) bool {
		if roomLeft && r.availableAfterExpected().MilliCPU < claim.MilliCPU {
			if visitWithRoom(); !more {
				return false
			}
		}
		switch {
		case !rule.allows(r):
			notAllowed = append(notAllowed, r)
		case roomLeft && !r.speed.fast:
			withRoom = append(withRoom, r)
		default:
			more = visit(r)
		}
		return more
	})
	if more && roomLeft {
		visitWithRoom()
	}
	for i := 0; more && i < len(notAllowed); i++ {
		more = visit(notAllowed[i])
	}
	o.withRoom, o.notAllowed = withRoom, notAllowed
}

// planGangBySpeed plans a gang on fast runners, else on those of usual speed, else on both, else on slow ones, else on all, as
// far as the rule allows: the slowest member sets the pace of all of them.
func (c *Cell) planGangBySpeed(now time.Time, g *group, candidates []*runner, plan func([]*runner) []*runner) []*runner {
	rule := c.speedRule(now, g)
	if rule.cell == nil {
		return plan(candidates)
	}
	var fast, usual, notSlow, slow []*runner
	held := false
	for _, r := range candidates {
		switch {
		case r.speed.fast:
			fast, notSlow = append(fast, r), append(notSlow, r)
		case !r.speed.slow:
			usual, notSlow = append(usual, r), append(notSlow, r)
		case !rule.hold || rule.endsInTime(r.speed.slowdown):
			slow = append(slow, r)
		default:
			held = true
		}
	}
	// Fast members of a gang that wait for usual ones would be of more use to other work, so usual ones alone come before both.
	choices := make([][]*runner, 0, 5)
	if len(fast) > 0 && len(usual) > 0 {
		choices = append(choices, fast, usual)
	}
	choices = append(choices, notSlow)
	if len(slow) > 0 {
		choices = append(choices, slow, slices.Concat(notSlow, slow))
	}
	for _, choice := range choices {
		if runners := plan(choice); runners != nil {
			return runners
		}
	}
	if held {
		c.noteHeld(now, g)
	}
	return nil
}

// earliestSlotsBySpeed returns the runners on which a gang is expected to end first: fast ones, those of usual speed, both, slow
// ones, or all of them if no choice of like speed has enough.
func (c *Cell) earliestSlotsBySpeed(now time.Time, g *group) []*runner {
	if c.slowRunners == 0 && c.fastRunners == 0 {
		runners, _ := c.earliestSlots(now, g, nil)
		return runners
	}
	var wanted []func(*runner) bool
	if c.fastRunners > 0 {
		wanted = append(wanted,
			func(r *runner) bool { return r.speed.fast },
			func(r *runner) bool { return !r.speed.fast && !r.speed.slow })
	}
	wanted = append(wanted, func(r *runner) bool { return !r.speed.slow })
	if c.slowRunners > 0 {
		wanted = append(wanted, func(r *runner) bool { return r.speed.slow })
	}
	var best []*runner
	var bestEnd time.Duration
	for _, choice := range wanted {
		runners, wait := c.earliestSlots(now, g, choice)
		if runners == nil {
			continue
		}
		slowest := 0.0
		for _, r := range runners {
			slowest = max(slowest, r.speed.factor())
		}
		if end := wait + scale(g.spec.Estimate, slowest); best == nil || end < bestEnd {
			best, bestEnd = runners, end
		}
	}
	if best == nil {
		best, _ = c.earliestSlots(now, g, nil)
	}
	return best
}

// noteStartSpeed records the start of a run. A gang works at the pace of its slowest member.
func (c *Cell) noteStartSpeed(now time.Time, g *group, run *Run, r *runner) {
	if c.slowRunners == 0 && c.fastRunners == 0 {
		return
	}
	if r.speed.slow && len(r.runs) == 1 {
		c.speed.nextProbeAt = now.Add(probeInterval)
	}
	if g.spec.Gang && run.Task.Index == len(g.tasks)-1 {
		c.applyGangSlowdown(g)
	}
}
