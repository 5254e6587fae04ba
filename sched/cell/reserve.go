package cell

import (
	"cmp"
	"iter"
	"slices"
	"sort"
	"time"

	"rhubarbstall.example/sched/model"
)

// Reservations let gangs start in a full cell. A gang that finds capacity for all its tasks
// has to ask the advisor for tickets, and while the advisor works, other groups take the
// capacity. Several gangs would then displace each other from runner to runner. A waiting
// gang therefore keeps the same runners until it starts.

const (
	// maxReservingGangs is how many gangs may reserve capacity at the same time in a cell
	// of any size.
	maxReservingGangs = 4
	// maxReservedShare is the share of the cell that further gangs may reserve. Some
	// reserved capacity is idle until the last task of a gang has capacity.
	maxReservedShare = 0.15
)

// applyReservations drops the reservations that are no longer valid. It deducts the others
// from the available capacity if their gang can still end in time and has asked for tickets.
func (c *Cell) applyReservations(now time.Time) {
	sort.SliceStable(c.reservingGangs, func(i, k int) bool { return c.reservingGangs[i].precedes(c.reservingGangs[k]) })
	keep := c.reservingGangs[:0]
	total := int64(0)
	for _, g := range c.reservingGangs {
		total += int64(len(g.reservedRunners)) * g.claim().MilliCPU
		if !c.reservationValid(now, g) || (len(keep) >= maxReservingGangs && float64(total) > maxReservedShare*float64(c.free.capacityMilliCPU)) {
			g.reservedRunners = nil
			continue
		}
		keep = append(keep, g)
		g.reservationDeducted = false
		if (g.servedInTime() || c.mostlyFree()) && g.committedToReservation(now) {
			// Groups that are placed earlier must not take the capacity that the call was
			// made for. A late gang must not delay work that can still end in time, but with
			// much free capacity it does not.
			c.deductReservation(g)
		}
	}
	clear(c.reservingGangs[len(keep):])
	c.reservingGangs = keep
}

// mostlyFree reports whether more than half of the cell is free.
func (c *Cell) mostlyFree() bool { return 2*c.free.freeMilliCPU > c.free.capacityMilliCPU }

func (c *Cell) reservationValid(now time.Time, g *group) bool {
	if !g.hasWaitingTasks() || g.waitingTasks < len(g.tasks) || len(g.reservedRunners) == 0 || c.startsWithinLimit(g) == 0 {
		return false
	}
	for _, r := range g.reservedRunners {
		if !r.usable(now) || c.runners[r.info.ID] != r {
			return false
		}
	}
	return true
}

// deductReservation deducts the reservation of a group from the available capacity.
func (c *Cell) deductReservation(g *group) {
	if !g.reservationDeducted {
		g.reservationDeducted = true
		for _, r := range g.reservedRunners {
			c.setAvailable(r, r.available.Sub(g.claim()))
		}
	}
}

// returnReservation adds the reservation of a group to the available capacity again.
func (c *Cell) returnReservation(g *group) {
	if g.reservationDeducted {
		g.reservationDeducted = false
		for _, r := range g.reservedRunners {
			c.setAvailable(r, r.available.Add(g.claim()))
		}
	}
}

// reserve chooses runners for a waiting gang, those where its tasks are expected to find
// capacity earliest. It reports whether there are enough.
func (c *Cell) reserve(now time.Time, g *group) bool {
	if g.waitingTasks < len(g.tasks) {
		return false
	}
	reservedMilliCPU, gangsBefore := int64(len(g.tasks))*g.claim().MilliCPU, 0
	for _, o := range c.reservingGangs {
		if o != g && o.precedes(g) {
			gangsBefore++
			reservedMilliCPU += int64(len(o.reservedRunners)) * o.claim().MilliCPU
		}
	}
	if gangsBefore >= maxReservingGangs && float64(reservedMilliCPU) > maxReservedShare*float64(c.free.capacityMilliCPU) {
		return false
	}
	g.reservedRunners, g.replanAt = nil, now.Add(groupRetryInterval)
	runners := c.earliestSlotsBySpeed(now, g)
	if runners == nil {
		return false
	}
	g.reservedRunners = runners
	if !slices.Contains(c.reservingGangs, g) {
		c.reservingGangs = append(c.reservingGangs, g)
	}
	return true
}

// slot is capacity for one task on a runner; after is when it is expected to be free.
type slot struct {
	runner *runner
	after  time.Duration
}

// earliestSlots returns the runners on which a gang is expected to find capacity earliest,
// one for each task, by id, and when it is; nil if there are too few. Only runners that are wanted are considered,
// unless wanted is nil.
func (c *Cell) earliestSlots(now time.Time, g *group, wanted func(*runner) bool) ([]*runner, time.Duration) {
	racks, oneRack := make(map[string][]slot), c.fitsOneRack(g)
	permitted := c.permittedRunners(g)
	c.gradeInterference(g, permitted)
	for _, r := range permitted {
		if r.info.Pool != g.job.Pool || !r.usable(now) || !g.fitsEmptyRunner(r) || g.avoids(now, r) || (wanted != nil && !wanted(r)) {
			continue
		}
		rack := ""
		if oneRack {
			rack = r.info.Rack
		}
		first := len(racks[rack])
		racks[rack] = g.slotsOn(now, r, racks[rack])
		if g.hasFailedOn(r) {
			for i := range racks[rack][first:] {
				racks[rack][first+i].after += failedSlotDelay
			}
		}
	}
	var best []slot
	for _, slots := range racks {
		if len(slots) < len(g.tasks) {
			continue
		}
		slices.SortFunc(slots, func(a, b slot) int {
			return cmp.Or(cmp.Compare(a.after, b.after), cmp.Compare(a.runner.interferenceGrade, b.runner.interferenceGrade), cmp.Compare(a.runner.index, b.runner.index))
		})
		slots = slots[:len(g.tasks)]
		last := len(slots) - 1
		if best == nil || slots[last].after < best[last].after ||
			(slots[last].after == best[last].after && slots[last].runner.index < best[last].runner.index) {
			best = slots
		}
	}
	if best == nil {
		return nil, 0
	}
	wait := best[len(best)-1].after
	out := make([]*runner, len(best))
	for i, p := range best {
		out[i] = p.runner
	}
	slices.SortFunc(out, func(a, b *runner) int { return a.index - b.index })
	return out, wait
}

// slotsOn appends the slots that a runner has for tasks of the group, now and as its runs
// are expected to end.
func (g *group) slotsOn(now time.Time, r *runner, out []slot) []slot {
	limit := len(g.tasks)
	if g.spec.MaxPerRunner > 0 {
		limit = min(limit, g.spec.MaxPerRunner)
	}
	claim, left, after := g.claim(), r.available, time.Duration(0)
	runs := r.byExpectedEnd()
	for n := 0; n < limit; {
		switch {
		case claim.Fits(left):
			out = append(out, slot{r, after})
			left = left.Sub(claim)
			n++
			continue
		case len(runs) == 0 || runs[0].hasNoEnd():
			// A gang that would wait for such capacity must not keep other work from what is free.
			return out
		}
		left = left.Add(runs[0].claimed)
		after = max(after, runs[0].expectedEnd().Sub(now), overdueRunDelay)
		runs = runs[1:]
	}
	return out
}

// failedSlotDelay is how much later capacity has to be free on other runners than on one on which the
// gang failed, for the gang to reserve the latter.
const failedSlotDelay = 2 * time.Second

// overdueRunDelay is the time within which a run that has exceeded its estimate is expected
// to end.
const overdueRunDelay = 50 * time.Millisecond

// reservationFreeAfter returns the time until the reserved capacity is expected to be free,
// by the estimates of the runs there. The caller must have returned the reservation to the
// available capacity.
func (g *group) reservationFreeAfter(now time.Time) time.Duration {
	ready := time.Duration(0)
	for r, need := range g.reservedNeeds() {
		ready = max(ready, r.freeAfter(now, need))
	}
	return ready
}

// reservedNeeds iterates over the reserved runners of a gang and what it needs on each.
func (g *group) reservedNeeds() iter.Seq2[*runner, model.Resources] {
	return func(yield func(*runner, model.Resources) bool) {
		for i := 0; i < len(g.reservedRunners); {
			r, need := g.reservedRunners[i], model.Resources{}
			for ; i < len(g.reservedRunners) && g.reservedRunners[i] == r; i++ {
				need = need.Add(g.claim())
			}
			if !yield(r, need) {
				return
			}
		}
	}
}

// freeAfter returns the time until a runner is expected to have the needed capacity
// available.
func (r *runner) freeAfter(now time.Time, need model.Resources) time.Duration {
	if need.Fits(r.available) {
		return 0
	}
	left := r.available
	for _, run := range r.byExpectedEnd() {
		left = left.Add(run.claimed)
		if need.Fits(left) {
			return max(overdueRunDelay, run.expectedEnd().Sub(now))
		}
	}
	return farFuture
}

// byExpectedEnd returns the runs on a runner by their expected end. The slice is cached until a run is
// added or removed, since each waiting gang looks at the runs on hundreds of runners; callers must not change it.
func (r *runner) byExpectedEnd() []*Run {
	if r.endOrderCache != nil || len(r.runs) == 0 {
		return r.endOrderCache
	}
	runs := make([]*Run, 0, len(r.runs))
	for _, run := range r.runs {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b *Run) int {
		return cmp.Or(a.expectedEnd().Compare(b.expectedEnd()), a.Task.compare(b.Task), cmp.Compare(a.Execution, b.Execution))
	})
	r.endOrderCache = runs
	return runs
}

// hasNoEnd reports whether no end of the run can be expected.
func (r *Run) hasNoEnd() bool { return r.group == nil || r.group.spec.LongRunning }

// expectedEnd returns when a run is expected to end; far in the future if it has no
// estimate.
func (r *Run) expectedEnd() time.Time {
	if r.hasNoEnd() {
		return r.Started.Add(farFuture)
	}
	return r.Started.Add(scale(r.group.spec.Estimate, r.durationFactor()))
}

// committedToReservation reports whether a gang must keep its reserved runners: a call to the advisor is
// in flight, or it has tickets for all of them that are valid until their capacity is expected to be
// free. The caller must have returned the reservation to the available capacity.
func (g *group) committedToReservation(now time.Time) bool {
	if g.queue.Advice == nil || len(g.reservedRunners) == 0 {
		return false
	}
	if g.advice.inFlight > 0 {
		return true
	}
	// Room that other groups have taken meanwhile may be free again only after the tickets have expired.
	startAt := now.Add(g.reservationFreeAfter(now))
	for _, r := range g.reservedRunners {
		if _, ok := g.ticketFor(startAt, r); !ok {
			return false
		}
	}
	return true
}
