package cell

import (
	"cmp"
	"math"
	"time"
)

const (
	// slowBelow is the speed, relative to the median of the pool, below which a runner may count as slow. Callers with a
	// slack factor of 1.5 end in time at 1/1.3 = 0.77 of the median, so a cell with speeds of 1.0 and 1.3 has no slow
	// runner. A runner recovers above recoveredAbove, so that one at the limit does not alternate.
	slowBelow      = 0.7
	recoveredAbove = 0.75
	// fastAbove is the speed, relative to the median of the pool, above which a runner may count as fast, if the pool is
	// uneven; it is the inverse of slowBelow. The runner is usual again below usualBelow.
	fastAbove  = 1 / slowBelow
	usualBelow = 1 / recoveredAbove
	// slowConfidence is by how many standard errors an estimate must be below slowBelow. A cell of 350 runners tests
	// some ten thousand estimates a minute; in a cell of speeds from 1.0 to 1.3 one test errs with a probability below 1e-6.
	slowConfidence = 4
	// In a pool whose runners differ, a low estimate is far more likely to be that of a slow runner, so unevenConfidence and
	// unevenSamples suffice. A pool is uneven if the logarithms of its speeds have a variance of unevenVariance among at
	// least unevenRunners: speeds of 1.0 and 1.3 have 0.017 at most, and a quarter at half speed 0.09.
	unevenVariance, unevenRunners   = 0.05, 16
	unevenConfidence, unevenSamples = 1.5, 4
	// minSlowSamples is the number of samples without which no runner becomes slow: if 3% of the tasks take 7 times as
	// long, fewer samples can consist of these for the most part. minRecoverySamples suffice for the opposite.
	// declinedSamples suffice in the middle: that as many tasks in a row take 7 times as long is far less likely.
	// Samples of low weight count less.
	minSlowSamples     = 7
	declinedSamples    = 5
	minRecoverySamples = 3
	fullSampleWeight   = 0.5
	// minPoolRunners is the number of runners with samples without which a pool has no median, and minPoolShare the share
	// of its usable runners that they have to be.
	minPoolRunners = 4
	minPoolShare   = 0.5
	// minSlowShare is the share of the usable runners that need samples before a runner of an uneven pool becomes slow. Fast
	// runners end more tasks, so they have samples first and raise the median until most of the others have some.
	minSlowShare = 0.75
	// minSampleTimes is the number of different times that the samples of a slow runner are from: those of one time are
	// mostly of one step and share its error.
	minSampleTimes = 3
	// initialDeviation is the standard deviation of speed samples (as logarithms) that is assumed until enough samples
	// allow to measure it. minDeviation and maxDeviation bound the measured value. The durations of a step's tasks
	// vary by 0.15 to 0.3.
	initialDeviation           = 0.3
	minDeviation, maxDeviation = 0.15, 0.6
	// minDeviationSamples is how many samples a runner needs to count in the measured deviation.
	minDeviationSamples = 5
	// speedInterval is how often the estimates are computed. It is shorter than the time in which a runner with room
	// for several tasks ends a few of them.
	speedInterval = 500 * time.Millisecond
	// maxSlowdown bounds the slowdown that is expected of a slow runner, and its inverse that of a fast one.
	maxSlowdown = 8.0
	// slowdownStep is the relative change of an estimate from which on the expected ends follow it.
	slowdownStep = 1.2
)

// poolSpeed is what is known about the speeds of the runners of a pool.
type poolSpeed struct {
	// median is the median of the logarithms of the speeds; samples are relative to the one at their time. deviation is
	// the usual deviation of a sample of full weight from the speed of its runner.
	median, deviation float64
	// uneven tells that the runners differ by more than chance and more than those of a usual cell; unevenBelow and
	// unevenAbove that those below or above the median alone suffice for that. Fast runners say nothing about whether
	// others are slow.
	uneven, unevenBelow, unevenAbove bool
	// share is that of the usable runners that have enough samples to count in the median.
	share float64
	// variance is that of the logarithms of the speeds, without what chance adds.
	variance float64
}

// decisiveEvidence returns by how many standard errors, and from how many samples, a runner must be below slowBelow.
func (p *poolSpeed) decisiveEvidence() (confidence float64, samples int) {
	if p.uneven && p.unevenBelow {
		return unevenConfidence, unevenSamples
	}
	return slowConfidence, minSlowSamples
}

// sampleDeviation returns the usual deviation of a sample in a pool.
func (c *Cell) sampleDeviation(pool string) float64 {
	if p := c.poolSpeeds[pool]; p != nil {
		return p.deviation
	}
	return initialDeviation
}

// refreshSpeeds computes the estimates of all runners and decides which of them are slow or fast.
func (c *Cell) refreshSpeeds(now time.Time) {
	if now.Before(c.nextSpeeds) {
		return
	}
	c.nextSpeeds = now.Add(speedInterval)
	since := now.Sub(c.takeoverAt)
	estimates := make([]speedEstimate, len(c.sortedRunners))
	for i, r := range c.sortedRunners {
		r.speed.expire(since)
		if len(r.speed.samples) > 0 {
			estimates[i] = estimateSpeed(r.speed.samples, since)
		}
	}
	c.refreshPoolSpeeds(now, estimates)
	c.findUnevenPools(estimates)
	c.slowRunners, c.fastRunners = 0, 0
	for i, r := range c.sortedRunners {
		c.decideSlow(r, estimates[i])
		c.decideFast(r)
		if r.speed.slow {
			c.slowRunners++
		}
		if r.speed.fast {
			c.fastRunners++
		}
	}
}

// poolSamples collects what the samples of a pool's runners show.
type poolSamples struct {
	usable int
	// logs holds the estimates of the runners with enough samples.
	logs []float64
	// deviations is the sum of the absolute deviations of samples from the estimate of their runner, and freedom their
	// number less one for each runner.
	deviations, freedom float64
}

// refreshPoolSpeeds computes the medians of the pools and the usual deviations of their samples.
func (c *Cell) refreshPoolSpeeds(now time.Time, estimates []speedEstimate) {
	pools := make(map[string]*poolSamples)
	for i, r := range c.sortedRunners {
		x := pools[r.info.Pool]
		if x == nil {
			x = new(poolSamples)
			pools[r.info.Pool] = x
		}
		if r.usable(now) {
			x.usable++
		}
		n := len(r.speed.samples)
		if n >= minRecoverySamples {
			x.logs = append(x.logs, estimates[i].log)
		}
		if n >= minDeviationSamples {
			for _, sample := range r.speed.samples {
				x.deviations += math.Abs(max(sample.log, minDecisiveLog)-estimates[i].decisive) * math.Sqrt(sample.weight)
			}
			x.freedom += float64(n - 1)
		}
	}
	clear(c.poolSpeeds)
	for pool, x := range pools {
		if len(x.logs) < minPoolRunners || float64(len(x.logs)) < minPoolShare*float64(x.usable) {
			continue
		}
		p := &poolSpeed{median: medianOf(x.logs), deviation: initialDeviation, share: float64(len(x.logs)) / float64(max(1, x.usable))}
		if x.freedom > 0 {
			// The mean absolute deviation of normal values is sqrt(2/pi) times their standard deviation.
			p.deviation = min(max(x.deviations/x.freedom*math.Sqrt(math.Pi/2), minDeviation), maxDeviation)
		}
		c.poolSpeeds[pool] = p
	}
}

// findUnevenPools finds the pools whose runners differ. What the estimates vary by because they are uncertain is deducted.
func (c *Cell) findUnevenPools(estimates []speedEstimate) {
	type sums struct{ n, log, square, error, below, above float64 }
	pools := make(map[string]sums)
	for i, r := range c.sortedRunners {
		if p := c.poolSpeeds[r.info.Pool]; p != nil && r.speed.weightySamples() >= unevenSamples {
			x, log, standardError := pools[r.info.Pool], estimates[i].decisive, p.standardError(estimates[i])
			x = sums{x.n + 1, x.log + log, x.square + log*log, x.error + standardError*standardError, x.below, x.above}
			if distance := log - p.median; distance < 0 {
				x.below += distance*distance - standardError*standardError
			} else {
				x.above += distance*distance - standardError*standardError
			}
			pools[r.info.Pool] = x
		}
	}
	for pool, x := range pools {
		p := c.poolSpeeds[pool]
		p.variance = x.square/x.n - x.log*x.log/(x.n*x.n) - x.error/x.n
		p.uneven = x.n >= unevenRunners && p.variance >= unevenVariance
		p.unevenBelow, p.unevenAbove = x.below/x.n >= unevenVariance, x.above/x.n >= unevenVariance
	}
}

// standardError returns the standard error of an estimate.
func (p *poolSpeed) standardError(e speedEstimate) float64 {
	return interquartileLoss * p.deviation / math.Sqrt(e.effective)
}

// decideSlow decides from an estimate whether a runner is slow.
func (c *Cell) decideSlow(r *runner, e speedEstimate) {
	s, p := &r.speed, c.poolSpeeds[r.info.Pool]
	if len(s.samples) == 0 || p == nil {
		// Nothing is known about the runner any more.
		s.log, s.deviation = 0, 0
		if s.slow {
			c.setSlow(r, false, "no recent samples")
		}
		return
	}
	s.log, s.deviation = e.log-p.median, p.standardError(e)
	switch {
	case !s.slow && p.showsSlow(s, e):
		c.setSlow(r, true, "")
	case s.slow && len(s.samples) >= minRecoverySamples && s.log > math.Log(recoveredAbove):
		c.setSlow(r, false, "")
	}
	if s.slow {
		c.updateSlowdown(r, min(max(math.Exp(-s.log), 1/recoveredAbove), maxSlowdown))
	}
}

// showsSlow reports whether an estimate and the samples that it is from suffice to count a runner as slow.
func (p *poolSpeed) showsSlow(s *runnerSpeed, e speedEstimate) bool {
	if p.uneven && p.share < minSlowShare {
		return false
	}
	confidence, samples := p.decisiveEvidence()
	if s.declined {
		samples = min(samples, declinedSamples)
	}
	return s.weightySamples() >= samples && (s.declined || s.sampleTimes() >= minSampleTimes) &&
		e.decisive-p.median+confidence*s.deviation < math.Log(slowBelow)
}

// updateSlowdown follows the estimate of a slow or fast runner if it has changed enough.
func (c *Cell) updateSlowdown(r *runner, slowdown float64) {
	if s := &r.speed; slowdown > s.slowdown*slowdownStep || slowdown < s.slowdown/slowdownStep {
		s.slowdown = slowdown
		c.applySlowdown(r)
	}
}

// decideFast decides whether a runner is fast, from the estimate that decideSlow has noted.
func (c *Cell) decideFast(r *runner) {
	s, p := &r.speed, c.poolSpeeds[r.info.Pool]
	switch {
	case len(s.samples) == 0 || p == nil:
		if s.fast {
			c.setFast(r, false, "no recent samples")
		}
	case !s.fast && p.showsFast(s):
		c.setFast(r, true, "")
	case s.fast && len(s.samples) >= minRecoverySamples && s.log < math.Log(usualBelow):
		c.setFast(r, false, "")
	}
	if s.fast {
		c.updateSlowdown(r, max(min(math.Exp(-s.log), 1/usualBelow), 1/maxSlowdown))
	}
}

// showsFast reports whether an estimate and the samples that it is from suffice to count a runner as fast.
func (p *poolSpeed) showsFast(s *runnerSpeed) bool {
	return p.uneven && p.unevenAbove && s.weightySamples() >= unevenSamples && s.sampleTimes() >= minSampleTimes &&
		s.log-unevenConfidence*s.deviation > math.Log(fastAbove)
}

// setFast changes whether a runner counts as fast, with one line in the log.
func (c *Cell) setFast(r *runner, fast bool, detail string) {
	r.speed.fast = fast
	kind := EventRunnerFast
	if !fast {
		kind, r.speed.slowdown = EventRunnerSpeedUsual, 0
		c.applySlowdown(r)
	}
	c.event(Event{Kind: kind, Runner: r.info.ID, Count: len(r.speed.samples), Detail: detail, Speed: r.speed.relative()})
}

// sampleTimes counts the different times of the samples.
func (s *runnerSpeed) sampleTimes() int {
	n := 0
	for i := range s.samples {
		if i == 0 || s.samples[i].at != s.samples[i-1].at {
			n++
		}
	}
	return n
}

// weightySamples counts the samples, those of low weight in part.
func (s *runnerSpeed) weightySamples() int {
	n := 0.0
	for i := range s.samples {
		n += min(1, s.samples[i].weight/fullSampleWeight)
	}
	return int(n)
}

// setSlow changes whether a runner counts as slow, with one line in the log.
func (c *Cell) setSlow(r *runner, slow bool, detail string) {
	r.speed.slow = slow
	kind := EventRunnerSlow
	if !slow {
		kind, r.speed.slowdown = EventRunnerSpeedRecovered, 0
		c.applySlowdown(r)
	}
	c.event(Event{Kind: kind, Runner: r.info.ID, Count: len(r.speed.samples), Detail: detail, Speed: r.speed.relative()})
}

// applySlowdown updates the expected ends of the runs on a runner. The members of a gang work at the pace of the slowest.
func (c *Cell) applySlowdown(r *runner) {
	for _, run := range r.runs {
		run.slowdown = r.speed.slowdown
		if run.group != nil && run.group.spec.Gang {
			c.applyGangSlowdown(run.group)
		}
	}
	r.endOrderCache = nil
}

// applyGangSlowdown gives all runs of a gang the highest slowdown of their runners.
func (c *Cell) applyGangSlowdown(g *group) {
	highest := 0.0
	for i := range g.tasks {
		for _, run := range g.tasks[i].liveRuns {
			if r := c.runners[run.Runner]; r != nil {
				highest = max(highest, r.speed.factor())
			}
		}
	}
	for i := range g.tasks {
		for _, run := range g.tasks[i].liveRuns {
			if r := c.runners[run.Runner]; r != nil && run.slowdown != highest {
				run.slowdown, r.endOrderCache = highest, nil
			}
		}
	}
}

// factor returns the duration of runs on the runner relative to that on a runner of usual speed.
func (s *runnerSpeed) factor() float64 { return cmp.Or(s.slowdown, 1) }

// durationFactor returns by how much longer the run takes than on a runner of usual speed; below 1 on a fast runner. A run of
// a gang takes as long as on the slowest runner of its members.
func (r *Run) durationFactor() float64 { return cmp.Or(r.slowdown, 1) }

// scale multiplies a duration.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
