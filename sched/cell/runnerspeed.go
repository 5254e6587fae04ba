package cell

import (
	"math"
	"slices"
	"time"

	"rhubarbstall.example/sched/model"
)

// Some runners work at half the speed of the others, some for good and some for a while. Work that is urgent ends late on
// them, while work with slack could leave the fast ones to it. The published entry does not tell the speed, so it is learned
// from how long runs take, and how fast they progress, in comparison with the other runs of their step.
//
// The estimate has to bear that tasks of one step vary by 0.15 to 0.3 of their duration and that 3% of them take 7 times as
// long, so it is the interquartile mean of the last samples of a runner, of which each run gives one.

const (
	// maxSpeedSamples bounds the samples of a runner (512 bytes: 175 KB for 350 runners, 550 KB for 1,100).
	maxSpeedSamples = 16
	// speedSampleAge is when a sample expires, and speedHalfLife the age at which it counts half. A runner that slows
	// down does so for some seconds to minutes.
	speedSampleAge = 30 * time.Second
	speedHalfLife  = 10 * time.Second
	// maxSpeedLog and minSpeedLog bound the logarithm of the speed that one sample may show: a runner that is 7.5
	// times slower than usual is still told from one that is 3 times slower.
	minSpeedLog, maxSpeedLog = -2.2, 0.8
	// minDecisiveLog bounds a sample in the decision whether a runner is slow, which tasks of 7 times the usual duration
	// would take over otherwise.
	minDecisiveLog = -1.2
	// changeSamples is the number of samples in a row that differ in the same direction, each by changeDeviations
	// times the usual deviation and more, from which on the earlier samples are dropped.
	changeSamples    = 4
	changeDeviations = 1.5
	// interquartileLoss is how much larger the standard error of an interquartile mean is than that of a mean.
	interquartileLoss = 1.15
)

// speedSample is what one run shows about the speed of its runner.
type speedSample struct {
	// at is the time since the takeover.
	at time.Duration
	// log is the natural logarithm of the runner's speed, 0 for the median of its pool. weight is the inverse of its
	// variance, at most 1.
	log, weight float64
	// run identifies the run: of several samples of a run the last one counts.
	run int64
}

// runnerSpeed is what is known about the speed of a runner.
type runnerSpeed struct {
	// samples holds the last samples, oldest first.
	samples []speedSample
	// log is the logarithm of the speed relative to the median of the pool, and deviation its standard error, when they
	// were last computed. Without samples both are 0.
	log, deviation float64
	slow           bool
	// fast tells that runs take so much less time here than on most runners of the pool that it matters to callers.
	fast bool
	// declined is true if all samples were taken after the runner became slower.
	declined bool
	// slowdown is by how much longer runs are expected to take than at the median speed of the pool, below 1 on a fast
	// runner; 0 on a runner of usual speed.
	slowdown float64
}

// add adds a sample; deviation is the usual deviation of a sample.
func (s *runnerSpeed) add(sample speedSample, deviation float64) {
	sample.log = min(max(sample.log, minSpeedLog), maxSpeedLog)
	if sample.run != 0 {
		s.samples = slices.DeleteFunc(s.samples, func(old speedSample) bool { return old.run == sample.run })
	}
	if len(s.samples) == maxSpeedSamples {
		s.samples = slices.Delete(s.samples, 0, 1)
	}
	s.samples = append(s.samples, sample)
	s.dropContradicted(sample.at, deviation)
}

// dropContradicted drops the earlier samples if the newest ones contradict them, all in the same direction.
func (s *runnerSpeed) dropContradicted(now time.Duration, deviation float64) {
	first := len(s.samples) - changeSamples
	if first < changeSamples || s.samples[first].at == now {
		// Samples of one time are mostly of one step and share its error.
		return
	}
	earlier := estimateSpeed(s.samples[:first], now)
	lower, higher := 0, 0
	for _, sample := range s.samples[first:] {
		switch diff := sample.log - earlier.log; {
		case diff < -changeDeviations*deviation:
			lower++
		case diff > changeDeviations*deviation:
			higher++
		}
	}
	if lower == changeSamples || higher == changeSamples {
		s.declined = lower == changeSamples
		s.keepNewest(changeSamples)
	}
}

// keepNewest drops all but the newest n samples.
func (s *runnerSpeed) keepNewest(n int) {
	s.samples = slices.Delete(s.samples, 0, max(0, len(s.samples)-n))
}

// expire drops the samples that are too old.
func (s *runnerSpeed) expire(now time.Duration) {
	n := 0
	for n < len(s.samples) && now-s.samples[n].at > speedSampleAge {
		n++
	}
	s.samples = slices.Delete(s.samples, 0, n)
	s.declined = s.declined && len(s.samples) > 0
}

// restarted limits the weight of what is known after the runner has restarted as a new incarnation: the machine is the
// same, but the cause of a slowdown may be gone, so a few ends of the new incarnation suffice to show that.
func (s *runnerSpeed) restarted() { s.keepNewest(changeSamples) }

// speedEstimate is an estimate from samples.
type speedEstimate struct {
	// log is the interquartile mean of the samples, decisive that of the samples bounded by minDecisiveLog, and
	// effective the number of samples of full weight that they are worth.
	log, decisive, effective float64
}

// estimateSpeed returns the estimate from at least one sample and at most maxSpeedSamples.
func estimateSpeed(samples []speedSample, now time.Duration) speedEstimate {
	var sorted [maxSpeedSamples]struct{ log, weight float64 }
	total, squares := 0.0, 0.0
	for i, sample := range samples {
		age := math.Exp2(-(now - sample.at).Seconds() / speedHalfLife.Seconds())
		weight := age * sample.weight
		total, squares = total+weight, squares+age*weight
		k := i
		for ; k > 0 && sorted[k-1].log > sample.log; k-- {
			sorted[k] = sorted[k-1]
		}
		sorted[k].log, sorted[k].weight = sample.log, weight
	}
	from, to, before := total/4, total*3/4, 0.0
	var e speedEstimate
	for _, x := range sorted[:len(samples)] {
		inside := max(0, min(before+x.weight, to)-max(before, from))
		e.log += inside * x.log
		e.decisive += inside * max(x.log, minDecisiveLog)
		before += x.weight
	}
	e.log, e.decisive, e.effective = e.log/(to-from), e.decisive/(to-from), total*total/squares
	return e
}

// relative returns the speed relative to the median of the pool; 0 if it is not known.
func (s *runnerSpeed) relative() float64 {
	if s.deviation == 0 {
		return 0
	}
	return math.Exp(s.log)
}

// effective returns what an amount of the runner's resources is worth at its speed.
func (r *runner) effective(amount model.Resources) model.Resources {
	if r.speed.slowdown == 0 {
		return amount
	}
	of := func(n int64) int64 { return int64(float64(n) / r.speed.slowdown) }
	return model.Resources{MilliCPU: of(amount.MilliCPU), MemoryMB: of(amount.MemoryMB), Accelerators: of(amount.Accelerators)}
}

// forgetSpeedOfOther forgets what is known about the speed of a runner whose entry shows that it is another machine now.
func (c *Cell) forgetSpeedOfOther(r *runner, info RunnerInfo) {
	if len(r.speed.samples) == 0 || (r.info.Capacity == info.Capacity && r.info.Rack == info.Rack && r.info.Pool == info.Pool) {
		return
	}
	r.speed.samples = nil
	if r.speed.slow {
		c.setSlow(r, false, "another machine")
		c.slowRunners--
	}
	if r.speed.fast {
		c.setFast(r, false, "another machine")
		c.fastRunners--
	}
}
