package cell

import (
	"math"
	"time"
)

const (
	// tailIntervalLength is over how long the reported tail latencies of a serving run are averaged: about twenty reports,
	// which cover half a second each.
	tailIntervalLength = 10 * time.Second
	// maxTailBatch bounds how many serving runs of a class are compared with each other.
	maxTailBatch = 32
)

// tailInterval averages the logarithm of the reported tail latencies of a serving run.
type tailInterval struct {
	sum   float64
	count int
}

// tailBatch collects the intervals of the serving runs of a class that end at about the same time. Demand changes the tail
// of all of them together, so they are compared within a batch.
type tailBatch struct {
	samples []effectSample
	since   time.Time
}

// noteGauge adds the tail latency in a report to the interval of a serving run, and begins another one when it has
// lasted long enough.
func (c *Cell) noteGauge(now time.Time, r *runner, run *Run) {
	mark := run.colocation
	if mark == nil || !run.hasTailTarget() || run.gauge <= 0 || run.Phase != Active {
		return
	}
	at := c.interference.millis(now)
	if passed := time.Duration(at-mark.at) * time.Millisecond; passed >= tailIntervalLength {
		if k := c.interference.classes.use(now, run.group); k != nil && k.id == run.class && mark.tail.count > 0 {
			sample := effectSample{
				logValue:  mark.tail.sum/float64(mark.tail.count) + math.Log(c.relativeSpeed(run.Runner)),
				place:     placeHash(run.Runner + run.Task.String()),
				neighbors: r.colocation.since(mark, at, run.class, run.claimed.MilliCPU, r.info.Capacity.MilliCPU),
			}
			c.addTailSample(now, k, sample)
		}
		mark = r.colocation.mark(at, run.class)
		run.colocation = mark
	}
	mark.tail.sum += math.Log(run.gauge)
	mark.tail.count++
}

func (c *Cell) addTailSample(now time.Time, k *taskClass, s effectSample) {
	if !s.known {
		return
	}
	b := &k.tailBatch
	if len(b.samples) > 0 && now.Sub(b.since) >= tailIntervalLength {
		c.learnEffects(now, k, effectOnTail, b.samples)
		b.samples = b.samples[:0]
	}
	if len(b.samples) == 0 {
		b.since = now
	}
	if len(b.samples) < maxTailBatch {
		b.samples = append(b.samples, s)
	}
}
