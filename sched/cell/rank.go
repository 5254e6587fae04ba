package cell

import "time"

// In a burst that the cell cannot run in time, earliest deadline first would place work
// first that is already late, and so make all later work late as well. Groups are therefore
// ranked in tiers: work that can still end in time comes before late work, and late work
// before work that its caller has probably abandoned.

// tier classifies a group by whether it can still end in the time that its caller expects;
// lower tiers are placed first.
type tier int

const (
	inTime tier = iota
	// atRisk groups end in time only if they take less time than estimated.
	atRisk
	late
	abandoned
)

const (
	// abandonedFactor times the expected latency is when callers are assumed to have
	// abandoned a job.
	abandonedFactor = 3
	// estimateErrorShare is the share of its estimate by which a task may be faster.
	estimateErrorShare = 0.3
	// starvationTime is how long beyond its expected latency a group waits before it counts
	// as starved and may be promoted.
	starvationTime = time.Minute
	// promotedShare is the share of the cell that is spent on promoted groups. With a
	// larger share, a backlog that is a minute old would make all new work late.
	promotedShare = 0.02
	// The weights keep tiers and priorities apart in a rank: each is longer than the start
	// times that it separates, which are limited to maxStartSeconds.
	tierWeightSeconds     = 1e13
	priorityWeightSeconds = 1e10
	atRiskWeightSeconds   = 5e9
	maxStartSeconds       = 2e9
	// assumedRunnersPerCall is the number of named runners with which the duration of
	// advice calls is estimated.
	assumedRunnersPerCall = 30
)

// rankOf ranks groups by tier, then by priority, then by the time at which they have to
// start. The tier comes before the priority because late work of the most urgent queue is
// worth less for its size than work of any queue that can still end in time. Unless its
// tier changes, the rank of a group does not depend on when it is computed.
func rankOf(c *Cell, g *group, now, wall time.Time) (float64, time.Time) {
	age := g.age(now, wall)
	t, slack := g.tierAndSlack(age)
	start := min(max(now.Sub(c.takeoverAt).Seconds()+slack, -maxStartSeconds), maxStartSeconds)
	validUntil := now.Add(g.tierChangesAfter(age))
	if !g.promoted && !g.spec.LongRunning {
		until := g.expectedLatency() + starvationTime - age
		if until < 0 {
			until = promotionRetryInterval
		}
		validUntil = earlier(validUntil, now.Add(until+minTierInterval))
	}
	if !g.due.IsZero() {
		validUntil = earlier(validUntil, now.Add(dueRankMaxAge))
	}
	rank := float64(g.queue.Priority)*priorityWeightSeconds + start
	switch {
	case g.promoted:
		return start - tierWeightSeconds, validUntil
	case t == atRisk:
		return rank + atRiskWeightSeconds, validUntil
	}
	return rank + float64(t)*tierWeightSeconds, validUntil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// age returns how long the caller has waited for the group's occurrence.
func (g *group) age(now, wall time.Time) time.Duration {
	if !g.due.IsZero() {
		return wall.Sub(g.due)
	}
	return now.Sub(g.job.Accepted)
}

// tierAndSlack returns the tier of a group and the seconds that are left until it has to
// start.
func (g *group) tierAndSlack(age time.Duration) (tier, float64) {
	if g.spec.LongRunning {
		// The caller is without the service until the task runs.
		return inTime, -age.Seconds()
	}
	expected := g.expectedLatency()
	remaining := g.remainingTime(g.step)
	slack := expected - age - remaining
	if g.promoted {
		return inTime, slack.Seconds()
	}
	fastest := time.Duration(float64(remaining) * (1 - estimateErrorShare))
	switch {
	case slack >= 0:
		return inTime, slack.Seconds()
	case age+fastest <= expected:
		return atRisk, slack.Seconds()
	case age+fastest <= abandonedFactor*expected:
		return late, slack.Seconds()
	}
	return abandoned, slack.Seconds()
}

// expectedLatency returns the time in which the caller expects the group's occurrence to
// end.
func (g *group) expectedLatency() time.Duration {
	return g.queue.TargetLatency + time.Duration(g.queue.SlackFactor*float64(g.job.longestChain(g.queue.callTimePerStep())))
}

// remainingTime returns the estimated time from the start of a step, or from the advice
// call before it, to the end of the job.
func (g *group) remainingTime(step int) time.Duration {
	return g.job.chainTime(step, g.queue.callTimePerStep())
}

const (
	// minTierInterval is the minimum time between two computations of a group's tier.
	minTierInterval = 10 * time.Millisecond
	// farFuture is longer than any time span that is compared with it.
	farFuture = 365 * 24 * time.Hour
)

// tierChangesAfter returns the time until the tier of a group of the given age changes.
func (g *group) tierChangesAfter(age time.Duration) time.Duration {
	if g.spec.LongRunning {
		return farFuture
	}
	expected, remaining := g.expectedLatency(), g.remainingTime(g.step)
	fastest := time.Duration(float64(remaining) * (1 - estimateErrorShare))
	changesAfter := farFuture
	for _, at := range [...]time.Duration{expected - remaining, expected - fastest, abandonedFactor*expected - fastest} {
		if at >= age {
			changesAfter = min(changesAfter, at-age)
		}
	}
	return max(changesAfter, 0) + minTierInterval
}

// starved reports whether a group has waited so long that it may be promoted.
func (g *group) starved(age time.Duration) bool {
	return !g.promoted && !g.spec.LongRunning && age > g.expectedLatency()+starvationTime
}

// promotionRetryInterval is how often the promotion of a starved group is tried again.
const promotionRetryInterval = time.Second

// promote reports whether a starved group may be placed first, and takes its work from the
// budget for promotions. The budget is a token bucket that holds at most what it gains in
// maxGainSeconds.
func (c *Cell) promote(now time.Time, g *group) bool {
	const maxGainSeconds = 10
	gainPerSecond := promotedShare * float64(c.free.capacityMilliCPU)
	if !c.promotionRefilledAt.IsZero() {
		c.promotionBudget = min(c.promotionBudget+gainPerSecond*now.Sub(c.promotionRefilledAt).Seconds(), maxGainSeconds*gainPerSecond)
	}
	c.promotionRefilledAt = now
	if c.promotionBudget < 0 {
		return false
	}
	c.promotionBudget -= float64(g.waitingTasks) * float64(g.claim().MilliCPU) * g.spec.Estimate.Seconds()
	return true
}
