package cell

import (
	"math"
	"slices"
	"time"
)

// The look-ahead selects the groups that are likely to start soon. If the advisor were
// asked about every group of a backlog, the tickets of groups that cannot start soon would
// expire unused, and calls for groups that can start would wait behind calls for those that
// cannot.

// movingRateWindow is the time constant of a movingRate.
const movingRateWindow = 2 * time.Second

// movingRate is an exponential moving average of a quantity per second.
type movingRate struct {
	at        time.Time
	perSecond float64
}

func (f *movingRate) add(now time.Time, amount int64) {
	dt := now.Sub(f.at).Seconds()
	if f.at.IsZero() || dt <= 0 {
		f.at = now
		return
	}
	f.at = now
	keep := math.Exp(-dt / movingRateWindow.Seconds())
	f.perSecond = keep*f.perSecond + (1-keep)*float64(amount)/dt
}

// startRate tells how many starts the caller can send. While the VM's link is the limit, tickets
// for more groups than can start would expire unused, and the calls for them take the same link.
type startRate struct {
	movingRate
	// limitedAt is when a decision last held back a start.
	limitedAt time.Time
	// byPriority holds the rates of the priorities.
	byPriority map[int]*movingRate
}

// startsWithin returns how many starts can be sent within a time; false if that is not limited.
func (c *Cell) startsWithin(now time.Time, d time.Duration) (float64, bool) {
	if c.starts.limitedAt.IsZero() || now.Sub(c.starts.limitedAt) > movingRateWindow {
		return 0, false
	}
	return float64(c.maxStarts) + c.starts.perSecond*d.Seconds(), true
}

// recordStarts updates the rates of starts after a decision.
func (c *Cell) recordStarts(now time.Time, starts []StartOrder) {
	if c.startsPaused {
		// The rates stay as they were.
		c.starts.at = now
		for _, rate := range c.starts.byPriority {
			rate.at = now
		}
		return
	}
	c.starts.add(now, int64(len(starts)))
	counts := make(map[int]int64)
	for i := range starts {
		priority := starts[i].Run.group.queue.Priority
		counts[priority]++
		if c.starts.byPriority[priority] == nil {
			c.starts.byPriority[priority] = &movingRate{at: now}
		}
	}
	for priority, rate := range c.starts.byPriority {
		rate.add(now, counts[priority])
	}
	if c.startsHeldBack && c.maxStarts < MaxStartsPerDecision {
		c.starts.limitedAt = now
	}
}

// runnerClass identifies the runners that a group may run on by pool and label. Groups of
// one class compete for the same capacity; groups of other classes do not count in their
// look-ahead.
type runnerClass struct {
	pool, label string
}

func (g *group) class() runnerClass { return runnerClass{g.job.Pool, g.spec.RunnerLabel} }

// demand sums what the groups of one class wait for that a decision has visited so far.
type demand struct {
	// allMilliCPU is the CPU that the groups within the look-ahead wait for, and
	// gangMilliCPU the part of it that gangs wait for.
	allMilliCPU, gangMilliCPU int64
	// fittingMilliCPU is the part of what they wait for that fits on a runner now.
	fittingMilliCPU int64
	// slowFreeMilliCPU is the part of freeMilliCPU on slow runners.
	slowFreeMilliCPU int64
	// freeMilliCPU and capacityMilliCPU are the free and the total CPU of the class.
	freeMilliCPU, capacityMilliCPU int64
}

// demandOf returns the demand of a group's class in the decision in progress.
func (c *Cell) demandOf(g *group, demands map[runnerClass]*demand) *demand {
	class := g.class()
	d := demands[class]
	if d == nil {
		d = new(demand)
		for _, r := range c.sortedRunners {
			if r.prevUsable && r.info.Pool == class.pool && (class.label == "" || r.hasLabel(class.label)) {
				d.freeMilliCPU += max(0, r.prevFree.MilliCPU)
				d.capacityMilliCPU += r.info.Capacity.MilliCPU
				if r.speed.slow {
					d.slowFreeMilliCPU += max(0, r.prevFree.MilliCPU)
				}
			}
		}
		demands[class] = d
	}
	return d
}

// expectedFreedRate returns the CPU that ending runs are expected to free in the class, in
// milli-CPU per second.
func (c *Cell) expectedFreedRate(d *demand) float64 {
	return c.freedCPU.perSecond * float64(d.capacityMilliCPU) / float64(max(1, c.free.capacityMilliCPU))
}

// lookaheadGangFactor limits the CPU that gangs within the look-ahead need to a multiple of
// what gangs may reserve: calls for the next gangs are made while the first ones wait for
// capacity.
const lookaheadGangFactor = 2

// maxLookahead is how long the rate of freed CPU is assumed to continue.
const maxLookahead = time.Second

// maxLookaheadWait is how long a group within the look-ahead counts as demand. A group that
// finds no capacity for longer, or can never find any, must not keep later groups from
// starting.
const maxLookaheadWait = 3 * time.Second

// withinLookahead reports whether a group may find capacity before tickets that it gets now
// would expire, given the demand of the groups before it. If so, it adds the tasks that may start to the
// demand. The demand of others does not keep a group out that has waited beside free capacity for long; see idlewait.go. A gang
// that may not reserve capacity yet does not count as demand, so that it does not keep others from capacity that it cannot use.
func (c *Cell) withinLookahead(now time.Time, g *group, tasks int, before *demand) bool {
	horizon := groupRetryInterval
	if a := g.queue.Advice; a != nil {
		horizon = a.CallTime(len(g.tasks)) + min(a.Validity/2, maxLookahead)
	}
	// Slow runners do not count for a group that is kept from them.
	wanted, free := c.lookaheadRunners(now, g, before)
	fits := c.anyRunnerMayFit(g.claim(), wanted)
	if !g.idle.overdue && float64(before.allMilliCPU) > float64(free)+c.expectedFreedRate(before)*horizon.Seconds() &&
		(!fits || g.spec.Gang || before.fittingMilliCPU > free) {
		// A group that fits now may still use capacity that is too small for those before it.
		return false
	}
	if n, limited := c.startsWithin(now, horizon); limited && float64(c.lookaheadTasks) > n {
		return false
	}
	if !g.idle.overdue && g.spec.Gang && float64(before.gangMilliCPU) > lookaheadGangFactor*maxReservedShare*float64(before.capacityMilliCPU) {
		return false
	}
	if g.lookaheadSince.IsZero() {
		g.lookaheadSince = now
		if !slices.ContainsFunc(c.sortedRunners, func(r *runner) bool { return r.info.Pool == g.job.Pool && g.fitsEmptyRunner(r) }) {
			// No runner can ever run the group, so it does not count as demand.
			g.lookaheadSince = now.Add(-maxLookaheadWait - 1)
		}
	}
	needs := int64(tasks) * g.claim().MilliCPU
	if now.Sub(g.lookaheadSince) > maxLookaheadWait {
		needs = 0
	}
	if g.spec.Gang {
		before.gangMilliCPU += needs
	}
	before.allMilliCPU += needs
	if fits {
		before.fittingMilliCPU += needs
	}
	c.lookaheadTasks += g.waitingTasks
	return true
}
