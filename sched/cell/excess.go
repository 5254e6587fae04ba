package cell

import (
	"cmp"
	"slices"
	"time"
)

// Excess: an account that submits more jobs per second than its weight, in a burst of several times its usual rate, is
// not entitled to service for the jobs beyond it. They use what capacity is left, and are the first to be rejected.

// excessHalfTier places excess behind the groups of its tier at all priorities.
const excessHalfTier = tierWeightSeconds / 2

// markExcess counts the jobs that were added since the last decision with the meters of their accounts, in the order of
// their acceptance: jobs that are loaded at a takeover, or that come over the store's watch, were accepted earlier.
func (c *Cell) markExcess() {
	if len(c.unmetered) == 0 {
		return
	}
	slices.SortFunc(c.unmetered, func(a, b *Job) int { return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID)) })
	for _, j := range c.unmetered {
		if a := j.account; a.Weight > 0 {
			j.excess = !a.meter.entitled(j.Accepted.Sub(c.takeoverAt), a.Weight)
			a.meter.offer(j.Accepted, a.Weight, j.AdmittedShare)
			if j.excess && !j.state.Final() {
				c.openExcess++
			}
		}
	}
	clear(c.unmetered)
	c.unmetered = c.unmetered[:0]
}

// forgetExcess counts the end of a job. A job that ends before it was counted by a meter is no excess.
func (c *Cell) forgetExcess(j *Job) {
	if j.excess {
		c.openExcess--
	}
}

// excessRank returns the rank of a group of an excess job: behind all groups that can still be served, and behind the
// abandoned ones once it is abandoned itself. Within the account, excess jobs are served in the order of acceptance.
func (c *Cell) excessRank(g *group) float64 {
	start := min(max(g.job.Accepted.Sub(c.takeoverAt).Seconds(), -maxStartSeconds), maxStartSeconds)
	return float64(max(g.tier, late))*tierWeightSeconds + excessHalfTier + start
}

const (
	// excessHeadroom is for how long the starts of the other accounts find room beside excess: about the time from the
	// arrival of a job to its start, with the advisor's calls (9 to 560 ms and up to 8 ms a runner). Without it a flood of 7 times
	// makes the urgent jobs of others wait 11% longer.
	excessHeadroom = time.Second
	// maxHeadroomShare is the largest share of a pool that is kept from excess.
	maxHeadroomShare = 0.2
)

// leavesRoom reports whether a group of an excess job has to leave the free capacity to work that is no excess: what
// has been visited and cannot start yet, and what the other accounts are about to submit. Runs are not
// preempted, so that excess that fills all gaps would delay all that arrives until it ends. An account that is alone
// leaves nothing to others.
func (c *Cell) leavesRoom(g *group) bool {
	if !g.job.excess || g.promoted {
		return false
	}
	others := max(0, c.entitledStarts.perSecond-g.job.account.entitledStarts.perSecond) * excessHeadroom.Seconds()
	room := c.poolRoom(g.job.Pool)
	return float64(room.freeMilliCPU) <
		max(float64(room.awaitedMilliCPU+g.claim().MilliCPU), min(others, maxHeadroomShare*float64(room.capacityMilliCPU)))
}

// poolRoom is what a decision knows of the capacity of a pool.
type poolRoom struct {
	// freeMilliCPU is what is free besides the starts of the decision.
	freeMilliCPU, capacityMilliCPU int64
	// awaitedMilliCPU is what groups that are no excess still wait for.
	awaitedMilliCPU int64
	// usedMilliCPU is what runs occupy of the totalMilliCPU of all runners that are heard, including those that get no new work.
	usedMilliCPU, totalMilliCPU int64
}

// mostlyFree reports whether less than half of the pool is in use.
func (p *poolRoom) mostlyFree() bool { return p.milliCPUUntilHalf() > 0 }

// milliCPUUntilHalf returns how much more CPU has to be in use until half of the pool is.
func (p *poolRoom) milliCPUUntilHalf() int64 { return p.totalMilliCPU/2 - p.usedMilliCPU }

// poolRoom returns the room of a pool in the decision in progress. Pools are apart, since work that waits for one must not keep
// excess from the free runners of another.
func (c *Cell) poolRoom(pool string) *poolRoom {
	room := c.poolRooms[pool]
	if room != nil {
		return room
	}
	room = new(poolRoom)
	for _, r := range c.sortedRunners {
		if r.prevUsable && r.info.Pool == pool {
			room.freeMilliCPU += max(0, r.prevFree.MilliCPU)
			room.capacityMilliCPU += r.info.Capacity.MilliCPU
		}
		if r.listed && r.reported && !r.suspect && r.info.Pool == pool {
			room.usedMilliCPU += r.used.MilliCPU
			room.totalMilliCPU += r.info.Capacity.MilliCPU
		}
	}
	if c.poolRooms == nil {
		c.poolRooms = make(map[string]*poolRoom)
	}
	c.poolRooms[pool] = room
	return room
}

// countAwaited counts what a group within the look-ahead still waits for, unless it has waited in vain for long or the limit of
// its account keeps it from starting.
func (c *Cell) countAwaited(now time.Time, g *group) {
	if !g.job.excess && now.Sub(g.lookaheadSince) <= maxLookaheadWait {
		c.poolRoom(g.job.Pool).awaitedMilliCPU += int64(c.startsWithinLimit(g)) * g.claim().MilliCPU
	}
}

// entitledRateInterval is how often the rates of the accounts' starts are updated; they move within movingRateWindow.
const entitledRateInterval = 50 * time.Millisecond

// recordEntitledStarts counts the starts of a decision by account.
func (c *Cell) recordEntitledStarts(now time.Time, starts []StartOrder) {
	if len(c.accounts) == 0 {
		return
	}
	for i := range starts {
		run := starts[i].Run
		if run.group == nil || run.group.job.excess {
			continue
		}
		c.entitledMilliCPU += run.claimed.MilliCPU
		if run.account != nil {
			run.account.entitledMilliCPU += run.claimed.MilliCPU
		}
	}
	if now.Sub(c.entitledStarts.at) < entitledRateInterval {
		return
	}
	c.entitledStarts.add(now, c.entitledMilliCPU)
	c.entitledMilliCPU = 0
	for _, a := range c.accounts {
		a.entitledStarts.add(now, a.entitledMilliCPU)
		a.entitledMilliCPU = 0
	}
}

// servedInTime reports whether a group can still end in time and its account is entitled to that.
func (g *group) servedInTime() bool { return g.tier <= atRisk && !g.job.excess }

// observeExcess records an event for each account that has begun or ceased to submit more than its weight.
func (c *Cell) observeExcess(now time.Time) {
	for _, name := range c.accountNames() {
		a := c.accounts[name]
		share := a.meter.excessShare(now, a.Weight)
		switch {
		case !a.meter.beyond && share >= excessBegins:
			a.meter.beyond = true
			c.event(Event{Kind: EventAccountBeyondWeight, Account: a.event()})
		case a.meter.beyond && share <= excessEnds:
			a.meter.beyond = false
			c.event(Event{Kind: EventAccountWithinWeight, Account: a.event()})
		}
	}
}

const (
	// excessBegins and excessEnds are the shares of excess at which an account counts as one that submits more than its
	// weight, and no longer does. Random arrivals of a few jobs per second at a rate below the weight have a share of up
	// to 0.17 in simulations; none of them are to be rejected. The two are apart so that a rate near the weight
	// does not fill the log.
	excessBegins = 0.25
	excessEnds   = 0.1
)

// accountNames returns the names of the accounts in their order.
func (c *Cell) accountNames() []string {
	names := make([]string, 0, len(c.accounts))
	for name := range c.accounts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
