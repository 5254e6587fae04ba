package cell

import (
	"math"
	"slices"
	"time"
)

// The load pattern that these rules answer is a backlog in a cell whose advisor is asked
// about each step: tickets of a step whose turn is far away run out unused, and calls for
// it keep the callers from those whose turn has come.

// freeingWindow is the time over which the rate of ending work is taken.
const freeingWindow = 2 * time.Second

// freeingRate is a running mean of the room that ending work frees.
type freeingRate struct {
	at time.Time
	// perSecond is in milli-CPU.
	perSecond float64
}

func (f *freeingRate) add(now time.Time, freed int64) {
	dt := now.Sub(f.at).Seconds()
	if f.at.IsZero() || dt <= 0 {
		f.at = now
		return
	}
	f.at = now
	keep := math.Exp(-dt / freeingWindow.Seconds())
	f.perSecond = keep*f.perSecond + (1-keep)*float64(freed)/dt
}

// runnerClass names the runners that a group may run on as far as its pool and label go.
// Groups of one class compete for the same room; those of others do not count for them.
type runnerClass struct {
	pool, label string
}

func (g *group) class() runnerClass { return runnerClass{g.job.Pool, g.spec.RunnerLabel} }

// demand is what the groups of a class before one wait for whose turn is near, and the room
// of the class, in milli-CPU.
type demand struct {
	all, gangs     int64
	free, capacity int64
}

// demandOf returns the demand of a group's class in the decision under way.
func (c *Cell) demandOf(g *group, demands map[runnerClass]*demand) *demand {
	class := g.class()
	d := demands[class]
	if d == nil {
		d = new(demand)
		for _, r := range c.order {
			if r.seenUsable && r.info.Pool == class.pool && (class.label == "" || r.hasLabel(class.label)) {
				d.free += max(0, r.seenFree.MilliCPU)
				d.capacity += r.info.Capacity.MilliCPU
			}
		}
		demands[class] = d
	}
	return d
}

// freed returns the room that ending work is expected to free in the class, in milli-CPU a
// second.
func (c *Cell) freed(d *demand) float64 {
	return c.freeing.perSecond * float64(d.capacity) / float64(max(1, c.room.capacity))
}

// nearGangs is how many times the room that gangs may reserve those may need whose turn is
// near: calls for the next ones are made while the first gather room.
const nearGangs = 2

// nearHorizon bounds how far the rate of ending work is taken to hold.
const nearHorizon = time.Second

// nearPatience is how long a group whose turn is near counts for those behind it; one that
// finds no room for longer, or never can, must not keep them from starting.
const nearPatience = 3 * time.Second

// isNear reports whether a group may find room before the tickets run out that it would
// be given now, and adds it to the demand if so. A gang that may not reserve room yet does
// not keep others from the room that it cannot use.
func (c *Cell) isNear(now time.Time, g *group, ahead *demand) bool {
	horizon := lookEvery
	if a := g.queue.Advice; a != nil {
		horizon = a.CallTime(len(g.tasks)) + min(a.Validity/2, nearHorizon)
	}
	if float64(ahead.all) > float64(ahead.free)+c.freed(ahead)*horizon.Seconds() {
		return false
	}
	if g.spec.Gang && float64(ahead.gangs) > nearGangs*reserveShare*float64(ahead.capacity) {
		return false
	}
	if g.nearSince.IsZero() {
		g.nearSince = now
		if !slices.ContainsFunc(c.order, func(r *runner) bool { return r.info.Pool == g.job.Pool && g.fitsEmpty(r) }) {
			// It takes no room from others at all.
			g.nearSince = now.Add(-nearPatience - 1)
		}
	}
	needs := int64(g.waiting) * g.claim().MilliCPU
	if now.Sub(g.nearSince) > nearPatience {
		needs = 0
	}
	if g.spec.Gang {
		ahead.gangs += needs
	}
	ahead.all += needs
	return true
}
