package cell

import (
	"math"
	"slices"
	"time"
)

// The duration of a run says something about its runner, and about what ran beside it, only in comparison with
// tasks that do the same work: estimates are off by a factor of up to two. Runs are therefore compared within their step,
// once all its tasks have ended. Those that end first are the fast ones, so an earlier comparison would be biased.

// maxComparedRuns bounds how many runs of a step are compared.
const maxComparedRuns = 64

// endedRun is a successful run whose duration can be compared with others of its step.
type endedRun struct {
	runner      string
	incarnation int64
	duration    time.Duration
	// compared is true once the progress of the run was compared with that of others; see observeSpeeds.
	compared bool
	// beside is what ran beside the run early on, as far as it lasted.
	beside earlyNeighbors
}

// durationSample compares the duration of a run with those of the other runs of its step.
type durationSample struct {
	endedRun
	group *group
	// logRatio is the natural logarithm of the duration divided by the median of the others.
	logRatio float64
	// others is the number of runs that the median is from.
	others int
}

// noteEndedRun remembers a run that ended successfully until its step is done. The members of a gang end together, a
// run that resumed from a checkpoint or was adopted took only part of its time here, and best-effort work depends
// on what others leave idle, so these are not compared.
func (g *group) noteEndedRun(now time.Time, run *Run) {
	if !g.comparable() || len(g.ended) >= maxComparedRuns || run.adopted || run.resumed || !run.Confirmed() {
		return
	}
	g.ended = append(g.ended, endedRun{runner: run.Runner, incarnation: run.Incarnation, duration: now.Sub(run.confirmedAt), compared: run.sampleID != 0, beside: run.earlyNeighbors()})
}

// comparable reports whether the durations of the step's runs can be compared with each other.
func (g *group) comparable() bool {
	return !g.spec.Gang && !g.spec.LongRunning && !g.spec.BestEffort && len(g.tasks) >= 2
}

// takeSamples compares the runs of a step that is done and forgets them.
func (g *group) takeSamples() []durationSample {
	ended := g.ended
	g.ended = nil
	if len(ended) < 2 {
		return nil
	}
	logs := make([]float64, len(ended))
	for i := range ended {
		logs[i] = math.Log(max(ended[i].duration, time.Millisecond).Seconds())
	}
	samples := make([]durationSample, len(ended))
	for i := range ended {
		others := slices.Delete(slices.Clone(logs), i, i+1)
		samples[i] = durationSample{endedRun: ended[i], group: g, logRatio: logs[i] - medianOf(others), others: len(others)}
	}
	return samples
}

// medianOf returns the median of at least one value; it reorders the values.
func medianOf(values []float64) float64 {
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

// observeSamples passes the samples of a step that is done to what learns from them.
func (c *Cell) observeSamples(now time.Time, samples []durationSample) {
	c.observeSpeeds(now, samples)
	c.learnInterference(now, samples)
}
