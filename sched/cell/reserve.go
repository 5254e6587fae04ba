package cell

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"rhubarbstall.example/sched/model"
)

// The load pattern that reservations answer is a full cell with gangs in it. A gang that
// finds room for all its tasks has to ask for tickets, and loses the room to others while
// the advisor works; several gangs then drive each other from runner to runner. A gang
// that waits therefore keeps the same places until it starts.

const (
	// reserveGroups is how many gangs may reserve room at a time in any cell.
	reserveGroups = 4
	// reserveShare is the part of the cell that more gangs may reserve; a part of it is
	// idle until the last task of a gang has room.
	reserveShare = 0.15
)

// applyReservations takes the reserved room from what the runners have left, and drops the
// reservations that no longer hold.
func (c *Cell) applyReservations(now time.Time) {
	sort.SliceStable(c.reservers, func(i, k int) bool { return c.reservers[i].before(c.reservers[k]) })
	keep := c.reservers[:0]
	total := int64(0)
	for _, g := range c.reservers {
		total += int64(len(g.reserved)) * g.claim().MilliCPU
		if !c.reservationHolds(now, g) || (len(keep) >= reserveGroups && float64(total) > reserveShare*float64(c.room.capacity)) {
			g.reserved = nil
			continue
		}
		keep = append(keep, g)
		g.holding = false
		if g.tier <= doubtful && g.committed(now) {
			// Others that go before it may not take what the call was made for.
			c.holdReserved(g)
		}
	}
	clear(c.reservers[len(keep):])
	c.reservers = keep
}

func (c *Cell) reservationHolds(now time.Time, g *group) bool {
	if !g.waits() || g.waiting < len(g.tasks) || len(g.reserved) == 0 {
		return false
	}
	for _, r := range g.reserved {
		if !r.usable(now) || c.runners[r.info.ID] != r {
			return false
		}
	}
	return true
}

// holdReserved takes the reserved room of a group from what its runners have left.
func (c *Cell) holdReserved(g *group) {
	if !g.holding {
		g.holding = true
		for _, r := range g.reserved {
			c.setAvail(r, r.avail.Sub(g.claim()))
		}
	}
}

// releaseReserved gives the reserved room of a group back.
func (c *Cell) releaseReserved(g *group) {
	if g.holding {
		g.holding = false
		for _, r := range g.reserved {
			c.setAvail(r, r.avail.Add(g.claim()))
		}
	}
}

// reserve chooses places for a gang that waits: one after the other on the runner that
// has the most left. It reports whether the gang has places.
func (c *Cell) reserve(now time.Time, g *group) bool {
	if g.waiting < len(g.tasks) {
		return false
	}
	ahead, groups := int64(len(g.tasks))*g.claim().MilliCPU, 0
	for _, o := range c.reservers {
		if o != g && o.before(g) {
			groups++
			ahead += int64(len(o.reserved)) * o.claim().MilliCPU
		}
	}
	if groups >= reserveGroups && float64(ahead) > reserveShare*float64(c.room.capacity) {
		return false
	}
	g.reserved, g.replan = nil, now.Add(lookEvery)
	places := c.soonest(now, g)
	if places == nil {
		return false
	}
	g.reserved = places
	if !slices.Contains(c.reservers, g) {
		c.reservers = append(c.reservers, g)
	}
	return true
}

// place is room for a task on a runner, and after what time it is expected.
type place struct {
	r     *runner
	after time.Duration
}

// soonest returns the places where a gang is expected to find room soonest, in the order
// of the runners; nil if there are too few.
func (c *Cell) soonest(now time.Time, g *group) []*runner {
	racks := make(map[string][]place)
	for _, r := range c.mayRunOn(g) {
		if r.info.Pool != g.job.Pool || !r.usable(now) || !g.fitsEmpty(r) || (g.avoid[r.info.ID] && len(g.avoid) < len(c.order)/2) {
			continue
		}
		rack := ""
		if g.spec.SameRack {
			rack = r.info.Rack
		}
		racks[rack] = g.places(now, r, racks[rack])
	}
	var best []place
	for _, places := range racks {
		if len(places) < len(g.tasks) {
			continue
		}
		slices.SortFunc(places, func(a, b place) int {
			return cmp.Or(cmp.Compare(a.after, b.after), cmp.Compare(a.r.position, b.r.position))
		})
		places = places[:len(g.tasks)]
		last := len(places) - 1
		if best == nil || places[last].after < best[last].after ||
			(places[last].after == best[last].after && places[last].r.position < best[last].r.position) {
			best = places
		}
	}
	if best == nil {
		return nil
	}
	out := make([]*runner, len(best))
	for i, p := range best {
		out[i] = p.r
	}
	slices.SortFunc(out, func(a, b *runner) int { return a.position - b.position })
	return out
}

// places appends the places that a runner has for tasks of the group, now and as its runs
// are expected to end.
func (g *group) places(now time.Time, r *runner, out []place) []place {
	most := len(g.tasks)
	if g.spec.MaxPerRunner > 0 {
		most = min(most, g.spec.MaxPerRunner)
	}
	claim, left, after := g.claim(), r.avail, time.Duration(0)
	runs := r.byExpectedEnd()
	for n := 0; n < most; {
		switch {
		case claim.Fits(left):
			out = append(out, place{r, after})
			left = left.Sub(claim)
			n++
			continue
		case len(runs) == 0:
			return out
		}
		left = left.Add(runs[0].claimed)
		after = max(after, runs[0].expectedEnd().Sub(now), overdue)
		runs = runs[1:]
	}
	return out
}

// overdue is when a run is expected to end that has taken longer than estimated.
const overdue = 50 * time.Millisecond

// reservedReady returns after what time the reserved places are expected to be free, by
// the estimates of what runs there. The group's own reservation has been given back.
func (g *group) reservedReady(now time.Time) time.Duration {
	ready := time.Duration(0)
	for i := 0; i < len(g.reserved); {
		r, need := g.reserved[i], model.Resources{}
		for ; i < len(g.reserved) && g.reserved[i] == r; i++ {
			need = need.Add(g.claim())
		}
		ready = max(ready, r.readyAfter(now, need))
	}
	return ready
}

// readyAfter returns when a runner is expected to have so much room left.
func (r *runner) readyAfter(now time.Time, need model.Resources) time.Duration {
	if need.Fits(r.avail) {
		return 0
	}
	left := r.avail
	for _, run := range r.byExpectedEnd() {
		left = left.Add(run.claimed)
		if need.Fits(left) {
			return max(overdue, run.expectedEnd().Sub(now))
		}
	}
	return tierForever
}

// byExpectedEnd returns the runs on a runner by when they are expected to end.
func (r *runner) byExpectedEnd() []*Run {
	runs := make([]*Run, 0, len(r.runs))
	for _, run := range r.runs {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b *Run) int { return a.expectedEnd().Compare(b.expectedEnd()) })
	return runs
}

// expectedEnd is when a run ends by its estimate; far away if that is not known.
func (r *Run) expectedEnd() time.Time {
	if r.group == nil || r.group.spec.LongRunning {
		return r.Started.Add(tierForever)
	}
	return r.Started.Add(r.group.spec.Estimate)
}

// committed reports whether a gang has asked for tickets for its reserved places, or has
// them, so that it keeps to these places.
func (g *group) committed(now time.Time) bool {
	if g.queue.Advice == nil || len(g.reserved) == 0 {
		return false
	}
	if g.advice.inFlight {
		return true
	}
	for _, r := range g.reserved {
		if _, ok := g.allowed(now, r); !ok {
			return false
		}
	}
	return true
}
