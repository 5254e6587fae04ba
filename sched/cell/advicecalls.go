package cell

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// requestAdvice adds a call to the advisor to the decisions if the group needs one. The
// first call names enough runners to find out where the group may run. Later calls renew
// expired tickets for runners on which the group could start, or name more runners.
func (c *Cell) requestAdvice(now time.Time, g *group, d *Decisions) {
	a := &g.advice
	if g.queue.Advice == nil || a.inFlight > 0 || now.Before(a.callAgainAt) {
		return
	}
	var named []*runner
	switch {
	case a.asked == nil:
		named = c.runnersToName(now, g)
	case !g.beginMarkStored():
		return
	default:
		named = c.ticketRenewals(now, g)
		if len(named) == 0 && (!c.approvedCapacityFor(now, g, approvedCapacityFactor) || c.shouldNameMore(now, g)) {
			named = c.runnersToName(now, g)
		}
	}
	if len(named) == 0 {
		a.callAgainAt = now.Add(adviceRetryDelay)
		return
	}
	a.fullSince = time.Time{}
	for part := range slices.Chunk(named, g.runnersPerCall(len(named))) {
		d.Advice = append(d.Advice, c.newAdviceCall(now, g, part, len(named)))
	}
}

// newAdviceCall returns one of the calls that together name all runners.
func (c *Cell) newAdviceCall(now time.Time, g *group, named []*runner, all int) AdviceCall {
	g.advice.inFlight++
	call := AdviceCall{
		Group: g.adviceKey(), ExpectedDuration: g.queue.Advice.CallTime(len(named)),
		Rank: g.rank, CreatedAt: now,
		group: g, incarnations: make(map[string]int64, len(named)), validity: g.queue.Advice.Validity,
	}
	for _, r := range named {
		call.Runners = append(call.Runners, r.info.ID)
		call.incarnations[r.info.ID] = r.incarnation
	}
	c.addExpectedStarts(g, named, all, &call)
	return call
}

// runnersPerCall returns how many runners each call names if a group has to ask about n. A gang needs all
// its tickets at the same time, and they are valid for little longer than a long call takes, so it asks in
// several calls at once, which different VMs make.
func (g *group) runnersPerCall(n int) int {
	perCall := maxRunnersPerCall
	if a := g.queue.Advice; g.spec.Gang && a.PerRunner > 0 {
		perCall = min(max(int(maxNamingTimeRatio*float64(a.Base)/float64(a.PerRunner)), 1), perCall)
	}
	calls := max(1, (n+perCall-1)/perCall)
	return (n + calls - 1) / calls
}

// addExpectedStarts adds to each runner that a call names the CPU that tasks of the group may take
// there after the answer, so that other calls name other runners; all is the number of runners that the
// calls of the group name together.
func (c *Cell) addExpectedStarts(g *group, named []*runner, all int, call *AdviceCall) {
	if len(g.reservedRunners) > 0 {
		return
	}
	call.expectedMilliCPU = int64(g.waitingTasks) * g.claim().MilliCPU / int64(all)
	for _, r := range named {
		r.expectedMilliCPU += call.expectedMilliCPU
	}
}

// removeExpectedStarts undoes addExpectedStarts after the answer.
func (c *Cell) removeExpectedStarts(call *AdviceCall) {
	for _, id := range call.Runners {
		if r := c.runners[id]; r != nil {
			r.expectedMilliCPU = max(0, r.expectedMilliCPU-call.expectedMilliCPU)
		}
	}
}

// approvedCapacityFactor is how many times the approved runners, if empty, should be able
// to hold a group before no further runners are named. A gang that needs every approved
// runner waits until all of them are empty, while smaller work keeps arriving.
const approvedCapacityFactor = 3

// approvedCapacityFor reports whether the approved runners, if empty, could hold the group
// the given number of times. For a group that is not a gang, a runner counts once even if
// several tasks fit, since a single runner may stay busy for long.
func (c *Cell) approvedCapacityFor(now time.Time, g *group, times int) bool {
	need, perRunner := times, 1
	if g.spec.Gang {
		need, perRunner = times*len(g.tasks), len(g.tasks)
	}
	rule := c.speedRule(now, g)
	for _, r := range c.permittedRunners(g) {
		if !r.usable(now) || g.hasFailedOn(r) || !rule.allows(r) {
			continue
		}
		room := r.info.Capacity
		for n := 0; n < perRunner && need > 0 && g.claim().Fits(room); n++ {
			room = room.Sub(g.claim())
			need--
		}
	}
	return need <= 0
}

const (
	// maxFullWait is how long a group waits at most for capacity on its approved runners
	// before a call names others. It is a few times the duration of an urgent task.
	maxFullWait = time.Second
	// maxFullWaitCalls limits the same wait to a multiple of the duration of a call: a short
	// call costs less than a long wait.
	maxFullWaitCalls = 8
)

// shouldNameMore reports whether the group has waited long enough for capacity on its
// approved runners while runners that no call has named have capacity for it.
func (c *Cell) shouldNameMore(now time.Time, g *group) bool {
	a := &g.advice
	if a.fullSince.IsZero() {
		a.fullSince = now
	}
	maxWait := min(maxFullWait, maxFullWaitCalls*g.queue.Advice.CallTime(len(a.asked)))
	if g.idle.overdue {
		maxWait = 0
	}
	if now.Sub(a.fullSince) < maxWait || now.Before(a.nameMoreAt) {
		return false
	}
	a.nameMoreAt = now.Add(adviceRetryDelay)
	need := 1
	if g.spec.Gang {
		need = g.waitingTasks
	}
	claim := g.claim()
	c.eachRunnerThatMayFit(claim, nil, func(r *runner) bool {
		if r.info.Pool == g.job.Pool && r.usable(now) && !a.asked[r.info.ID] && g.fitsEmptyRunner(r) {
			for left := r.available; need > 0 && claim.Fits(left); left = left.Sub(claim) {
				need--
			}
		}
		return need > 0
	})
	return need <= 0
}

// ticketRenewals returns the approved runners whose tickets have expired and on which the
// group could start with new tickets.
func (c *Cell) ticketRenewals(now time.Time, g *group) []*runner {
	expired := func(r *runner) bool { _, ok := g.ticketFor(now, r); return !ok }
	if g.spec.Gang {
		return c.gangTicketRenewals(now, g)
	}
	rule := c.speedRule(now, g)
	chosen, _ := rule.filter(c.eligible(now, g, expired))
	chosen = g.withPlaceLeft(chosen)
	slices.SortFunc(chosen, func(a, b *runner) int {
		return cmp.Or(compareBools(g.hasFailedOn(a), g.hasFailedOn(b)), byCPUAfterExpected(a, b))
	})
	claim, need := g.claim(), g.waitingTasks
	for i, r := range chosen {
		if need <= 0 {
			return chosen[:i]
		}
		for left := r.availableAfterExpected(); need > 0 && claim.Fits(left); left = left.Sub(claim) {
			need--
		}
	}
	return chosen
}

// withPlaceLeft returns the runners on which the group has not reached its number of tasks per runner, in their order.
func (g *group) withPlaceLeft(runners []*runner) []*runner {
	if g.spec.MaxPerRunner == 0 {
		return runners
	}
	return slices.DeleteFunc(runners, func(r *runner) bool { return g.countOnRunner(r) >= g.spec.MaxPerRunner })
}

// gangTicketRenewals returns the runners for which a gang needs new tickets. It looks at
// the reserved runners once they are about to have capacity, or, without a reservation, at
// runners that have capacity now.
func (c *Cell) gangTicketRenewals(now time.Time, g *group) []*runner {
	if g.waitingTasks < len(g.tasks) {
		return nil
	}
	chosen := g.reservedRunners
	if len(chosen) == 0 {
		chosen = c.planGang(now, g, c.boundMembers(g), func(*runner) bool { return true })
	}
	call := g.queue.Advice.CallTime(g.runnersPerCall(len(slices.Compact(slices.Clone(chosen)))))
	if len(g.reservedRunners) > 0 && g.reservationFreeAfter(now) > call {
		return nil
	}
	// A gang needs valid tickets for all its runners at the same time, so tickets that
	// expire before the answer are renewed as well.
	answerAt := now.Add(call + ticketMargin)
	var out []*runner
	for _, r := range chosen {
		if _, ok := g.ticketFor(answerAt, r); !ok && !slices.Contains(out, r) {
			out = append(out, r)
		}
	}
	for _, r := range out {
		if _, ok := g.ticketFor(now, r); !ok {
			return out
		}
	}
	return nil
}

// runnersToName returns the runners that a call names: those with the most available CPU,
// and as few as are likely to give the group enough approved slots.
func (c *Cell) runnersToName(now time.Time, g *group) []*runner {
	limit := maxRunnersPerCall
	if g.spec.Gang {
		limit = maxRunnersPerGang
	}
	share := c.approvalShare(g.queue)
	// With minNamed runners, the probability that none is approved is at most
	// noneApprovedProbability.
	minNamed := int(math.Ceil(math.Log(noneApprovedProbability) / math.Log(1-share)))
	if a := g.queue.Advice; a.PerRunner > 0 {
		minNamed = max(minNamed, int(minNamingTimeRatio*float64(a.Base)/float64(a.PerRunner)))
	}
	slotsWanted := namedSlotsFactor * float64(len(g.tasks)) / share
	if g.spec.Gang {
		// A gang finds capacity earliest if each of its tasks can run on a runner of its own.
		minNamed = max(minNamed, int(math.Ceil(float64(len(g.tasks))/share)))
	}
	claim := g.claim()
	if !c.nameOrder.built {
		c.nameOrder.build(c.sortedRunners, c.free.largestCapacity)
	}
	named := c.candidateBuf[:0]
	rule := c.speedRule(now, g)
	c.nameOrder.eachBySpeed(c.free.largestCapacity, claim, &rule, func(r *runner) bool {
		if len(named) >= limit || (len(named) >= minNamed && slotsWanted <= 0) {
			return false
		}
		if r.info.Pool != g.job.Pool || !r.usable(now) || g.advice.asked[r.info.ID] || !g.fitsEmptyRunner(r) {
			return true
		}
		named = append(named, r)
		left, slots := r.availableAfterExpected(), 0
		for slots < len(g.tasks) && claim.Fits(left) {
			left = left.Sub(claim)
			slots++
		}
		slotsWanted -= max(1, float64(slots))
		return true
	})
	c.candidateBuf = named
	return named
}

const (
	// noneApprovedProbability is the accepted probability that a call approves no runner.
	noneApprovedProbability = 0.01
	// minNamingTimeRatio is the minimum ratio of the time that the named runners add to a
	// call to the fixed duration of a call, unless fewer runners can be named. A further
	// runner may save another call if other groups start on the runners that were named
	// first.
	minNamingTimeRatio = 1.0
	// maxNamingTimeRatio is the maximum of the same ratio for the calls of a gang.
	maxNamingTimeRatio = 1.0
	// maxRunnersPerGang limits the runners that a gang asks about at once, and so the VMs that its calls
	// keep busy.
	maxRunnersPerGang = 600
	// namedSlotsFactor is how many times the slots that a group needs are named, since
	// other groups start on the named runners while the advisor works.
	namedSlotsFactor = 1.5
	// approvalShareWeight is the weight of one named runner in the exponential moving
	// average of the share of approvals.
	approvalShareWeight = 0.002
	// initialApprovalShare is the share of approvals that is assumed before the first
	// answer. minApprovalShare and maxApprovalShare bound the measured share.
	initialApprovalShare = 0.4
	minApprovalShare     = 0.05
	maxApprovalShare     = 0.95
)
