package cell

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Durations and progress are divided by the known speeds of their runners before they are compared, since in a step of three
// tasks the others may well be those that run on slow runners.

const (
	// progressInterval is how often the progress of a step's runs is compared at most, and minProgressWindow the time over
	// which the progress of a run is measured at least. Reports come at least once a second, and arrive some 20 ms
	// early or late.
	progressInterval  = 750 * time.Millisecond
	minProgressWindow = 500 * time.Millisecond
	// minMedianProgress is the progress that a run of median pace has to make meanwhile. Percents are whole numbers, so
	// a difference of two is off by up to one.
	minMedianProgress = 8
	// percentRounding is added to the difference of two percents, which is 0 for a run that progresses slowly.
	percentRounding = 0.25
	// minPaceChange is the change of the logarithm of a run's pace that is a change of its runner: 1.5 times the pace. Whole
	// percents and late reports explain less.
	minPaceChange = 0.4
	// minChangeOthers is the number of other runs without which a comparison is too uncertain to show a change: the one
	// other may take 7 times as long.
	minChangeOthers = 4
	// usualVariance is the variance of the logarithms of speeds from 1.0 to 1.3.
	usualVariance = 0.02
	// maxProgressTasks is how many tasks of a step one comparison looks at; the next one goes on after them.
	maxProgressTasks = 128
	// referenceLoss is how many times the variance of a single run the median of others is uncertain by, divided by
	// their number.
	referenceLoss = 1.57
)

// ratedRun is a run whose pace is compared with that of the other runs of its step.
type ratedRun struct {
	runner *runner
	// pace is the logarithm of the pace, and log that at the usual speed.
	pace, log float64
	// run is nil if it has ended. reference tells that the run is only compared with.
	run       *Run
	reference bool
}

// noteProgress notes the progress of a listed run, and compares that of the runs of its step if it is time.
func (c *Cell) noteProgress(now time.Time, r *runner, run *Run) {
	g := run.group
	if g == nil || g.spec.Gang || g.spec.LongRunning || g.spec.BestEffort || len(g.tasks) < 2 || g.percentFell || run.Phase != Active || c.speedOff {
		return
	}
	run.listedAt = now
	if run.windowFrom.IsZero() {
		run.windowFrom, run.windowPercent = now, run.percent
	}
	if now.Before(g.nextProgressAt) {
		return
	}
	g.nextProgressAt = now.Add(progressInterval)
	c.compareProgress(now, g)
}

// compareProgress compares the progress of the runs of a step since they were last compared.
func (c *Cell) compareProgress(now time.Time, g *group) {
	var runs []*Run
	for n := 0; n < min(len(g.tasks), maxProgressTasks) && len(runs) < maxComparedRuns; n++ {
		g.progressCursor = (g.progressCursor + 1) % len(g.tasks)
		for _, run := range g.tasks[g.progressCursor].liveRuns {
			// A run at 100% has ended, and how long ago is not known.
			if run.Phase == Active && run.percent < fullPercent && !run.windowFrom.IsZero() && run.listedAt.Sub(run.windowFrom) >= minProgressWindow {
				runs = append(runs, run)
			}
		}
	}
	if len(runs) == 0 || len(runs)+len(g.ended) < 2 {
		return
	}
	// Runs that have ended are compared as well: the samples would be those of the longest tasks of the step otherwise.
	rated := make([]ratedRun, 0, len(runs)+len(g.ended))
	paces := make([]float64, 0, len(runs)+len(g.ended))
	for i := range g.ended {
		e := &g.ended[i]
		if r := c.runners[e.runner]; r != nil {
			pace := fullPercent / max(e.duration, time.Millisecond).Seconds()
			paces = append(paces, pace)
			rated = append(rated, ratedRun{runner: r, pace: math.Log(pace), reference: e.compared || r.incarnation != e.incarnation})
			e.compared = true
		}
	}
	for _, run := range runs {
		paces = append(paces, run.windowPace())
	}
	median := medianOf(slices.Clone(paces))
	for i, run := range runs {
		if r := c.runners[run.Runner]; r != nil && run.Fence >= r.fence && median*run.listedAt.Sub(run.windowFrom).Seconds() >= minMedianProgress {
			rated = append(rated, ratedRun{runner: r, pace: math.Log(paces[len(paces)-len(runs)+i]), run: run})
			run.windowFrom, run.windowPercent = run.listedAt, run.percent
		}
	}
	c.addSpeedSamples(now, rated)
}

// windowPace returns the progress of a run since it was last compared, in percent per second.
func (r *Run) windowPace() float64 {
	return (max(0, r.percent-r.windowPercent) + percentRounding) / r.listedAt.Sub(r.windowFrom).Seconds()
}

// observeSpeeds compares the durations of a step that is done. A run whose progress was compared is only compared with: its
// own deviation from the others of the step would count twice.
func (c *Cell) observeSpeeds(now time.Time, samples []durationSample) {
	rated := make([]ratedRun, 0, len(samples))
	for i := range samples {
		s := &samples[i]
		if r := c.runners[s.runner]; r != nil && r.incarnation == s.incarnation {
			rated = append(rated, ratedRun{
				runner: r, pace: -math.Log(max(s.duration, time.Millisecond).Seconds()),
				reference: s.compared,
			})
		}
	}
	c.addSpeedSamples(now, rated)
}

// addSpeedSamples compares the paces of runs of one step, each with the median of those on other runners, and adds the
// samples to the runners.
func (c *Cell) addSpeedSamples(now time.Time, rated []ratedRun) {
	if len(rated) < 2 || c.speedOff {
		return
	}
	for i := range rated {
		rated[i].log = rated[i].pace - c.trustedSpeed(rated[i].runner)
	}
	slices.SortStableFunc(rated, func(a, b ratedRun) int { return cmp.Compare(a.log, b.log) })
	type result struct {
		log, weight float64
		others      int
	}
	results := make([]result, len(rated))
	for i := range rated {
		r := rated[i].runner
		if median, others := medianOfOthers(rated, r); others > 0 && !rated[i].reference {
			// The runs on one runner share the error of what they are compared with.
			share := float64(len(rated) - others)
			results[i] = result{rated[i].pace - median, float64(others) / (float64(others) + referenceLoss*share), others}
		}
	}
	for i, x := range rated {
		if results[i].weight == 0 {
			continue
		}
		sample := speedSample{at: now.Sub(c.takeoverAt), log: results[i].log, weight: results[i].weight}
		if x.run == nil || c.rateRun(x.run, &x.runner.speed, &sample, x.pace, results[i].others) {
			x.runner.speed.add(sample, c.sampleDeviation(x.runner.info.Pool))
		}
	}
}

// rateRun turns a comparison of the progress of a run into a sample, and reports whether it says anything. How much longer a
// task takes than the others is in its first sample. Later ones show only by how much its runner has changed since: tasks that
// take 7 times as long would give most of the samples otherwise.
func (c *Cell) rateRun(run *Run, speed *runnerSpeed, sample *speedSample, pace float64, others int) bool {
	if run.sampleID == 0 {
		c.lastSampleID++
		run.sampleID = c.lastSampleID
	}
	if run.firstOthers < minChangeOthers && others > run.firstOthers {
		run.firstPace, run.firstOwnPace, run.firstSpeed, run.firstOthers, sample.run = sample.log, pace, speed.log, others, run.sampleID
		return true
	}
	if others < minChangeOthers || run.firstOthers < minChangeOthers {
		return false
	}
	// What the run is compared with may have changed, and so may the pace of all its step.
	change, own := sample.log-run.firstPace, pace-run.firstOwnPace
	switch {
	case change*own <= 0:
		change = 0
	case math.Abs(own) < math.Abs(change):
		change = own
	}
	changed := math.Abs(change) >= minPaceChange
	if !changed && !run.paceChanged {
		return false
	}
	run.paceChanged, sample.run, sample.log = changed, run.sampleID, run.firstSpeed+change
	return true
}

// trustedSpeed returns the logarithm of the speed of a runner as far as it is certain: one from few samples may show no more
// than that tasks took long.
func (c *Cell) trustedSpeed(r *runner) float64 {
	p := c.poolSpeeds[r.info.Pool]
	if p == nil || r.speed.deviation == 0 {
		return 0
	}
	variance := usualVariance
	if p.uneven {
		variance = p.variance
	}
	return r.speed.log * variance / (variance + r.speed.deviation*r.speed.deviation)
}

// medianOfOthers returns the median of the sorted paces on other runners than one, and their number.
func medianOfOthers(sorted []ratedRun, r *runner) (median float64, others int) {
	for i := range sorted {
		if sorted[i].runner != r {
			others++
		}
	}
	n := 0
	for i := range sorted {
		if sorted[i].runner == r {
			continue
		}
		if n == (others-1)/2 {
			median += sorted[i].log / 2
		}
		if n == others/2 {
			median += sorted[i].log / 2
		}
		n++
	}
	return median, others
}
