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

// demand is what the groups before one wait for whose turn is near, in milli-CPU.
type demand struct {
	all, gangs int64
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
	if float64(ahead.all) > float64(c.room.free)+c.freeing.perSecond*horizon.Seconds() {
		return false
	}
	if g.spec.Gang && float64(ahead.gangs) > nearGangs*reserveShare*float64(c.room.capacity) {
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
