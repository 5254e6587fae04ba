package cell

import (
	"slices"
	"sort"
	"time"
)

// The load pattern that the order of waiting groups answers is a backlog of thousands of
// steps: ranking and looking at all of them in each decision costs more than a small VM
// has. The order is kept from decision to decision, since a rank changes only when the
// tier does, and a decision looks at a bounded part of it.

const (
	// frontGroups is how many groups each decision looks at, in the order of their rank.
	// Those behind them rarely find room that these leave.
	frontGroups = 256
	// sweepGroups is how many of the others a decision looks at, in turn, so that room
	// that none of the first can use is found by others, and changed ranks are noticed.
	sweepGroups = 64
	// dueRefresh is how often the rank of a group with a due time is taken anew, since
	// the wall clock may jump.
	dueRefresh = time.Second
)

// backlog holds the startable groups that have tasks to start.
type backlog struct {
	// ordered holds the groups by rank.
	ordered []*group
	// later holds the groups that are not due yet, by due time.
	later []*group
	// inherited holds the groups of which unknown runs may exist.
	inherited []*group
	// sweep is the position from which the next decision looks at the groups behind the
	// front.
	sweep int
	// stale tells that all ranks have to be taken anew.
	stale bool
	moved []*group
}

// before orders groups by rank, and those of one rank by their age.
func (g *group) before(o *group) bool {
	if g.rank != o.rank {
		return g.rank < o.rank
	}
	return g.number < o.number
}

// waits reports whether a group has tasks to start.
func (g *group) waits() bool {
	// The state of a job that is forgotten is final.
	return !g.job.state.Final() && g.waiting > 0
}

// insert ranks a group and puts it in its place.
func (c *Cell) insert(now, wall time.Time, g *group) {
	if g.starved(g.age(now, wall)) {
		g.promoted = c.promote(now, g)
	}
	g.rank, g.rankEnds = c.rank(c, g, now, wall)
	g.tier, _ = g.standing(g.age(now, wall))
	b := &c.backlog
	i := sort.Search(len(b.ordered), func(i int) bool { return g.before(b.ordered[i]) })
	b.ordered = slices.Insert(b.ordered, i, g)
}

// takeReady moves the groups that became startable, due, or free of unknown runs to the
// places where decisions find them.
func (c *Cell) takeReady(now, wall time.Time) {
	b := &c.backlog
	if b.stale {
		b.stale = false
		c.ready = append(c.ready, b.ordered...)
		b.ordered = b.ordered[:0]
	}
	if c.inheritClear && len(b.inherited) > 0 {
		c.ready = append(c.ready, b.inherited...)
		b.inherited = nil
	}
	due := 0
	for due < len(b.later) && !wall.Before(b.later[due].due.Add(-beginLead)) {
		due++
	}
	c.ready = append(c.ready, b.later[:due]...)
	b.later = b.later[due:]
	for _, g := range c.ready {
		if g.number == 0 {
			c.numbered++
			g.number = c.numbered
		}
		switch {
		case !c.runsKnown(g):
			b.inherited = append(b.inherited, g)
		case wall.Before(g.due.Add(-beginLead)):
			i := sort.Search(len(b.later), func(i int) bool { return g.due.Before(b.later[i].due) })
			b.later = slices.Insert(b.later, i, g)
		default:
			c.insert(now, wall, g)
		}
	}
	clear(c.ready)
	c.ready = c.ready[:0]
}

// inView returns the groups that a decision looks at, in the order of their rank. The
// result is valid until the order changes.
func (c *Cell) inView(now, wall time.Time) (front, sweep []*group) {
	b := &c.backlog
	b.moved = b.moved[:0]
	if b.sweep >= len(b.ordered) {
		b.sweep = 0
	}
	start := max(b.sweep, frontGroups)
	b.sweep = start + c.renew(now, start, sweepGroups)
	c.renew(now, 0, frontGroups)
	for _, g := range b.moved {
		c.insert(now, wall, g)
	}
	front = b.ordered[:min(frontGroups, len(b.ordered))]
	start = max(0, min(start, len(b.ordered)))
	if start >= frontGroups {
		sweep = b.ordered[start:min(start+sweepGroups, len(b.ordered))]
	}
	return front, sweep
}

// renew takes the groups out of a part of the order that wait no longer or whose rank has
// changed; the latter are gathered in moved. It returns how many stay.
func (c *Cell) renew(now time.Time, from, count int) int {
	b := &c.backlog
	to := min(from+count, len(b.ordered))
	if from >= to {
		return 0
	}
	keep := from
	for _, g := range b.ordered[from:to] {
		switch {
		case !g.waits():
			g.listed = false
		case !now.Before(g.rankEnds):
			b.moved = append(b.moved, g)
		default:
			b.ordered[keep] = g
			keep++
		}
	}
	if keep < to {
		b.ordered = slices.Delete(b.ordered, keep, to)
	}
	return keep - from
}
