package cell

import "time"

// What runs beside a run is looked at over the same time for all runs of a step, from the start to a quarter or half of
// the estimate. Over the whole run, long ones would see more of whatever comes later: in a burst of one queue, the long
// runs of another seem to be long because of it.

// earlyAges is the number of ages, in parts of the estimate, at which the neighbors of a run are noted.
const earlyAges = 2

// earlyNeighbors is what ran beside a run up to a quarter and up to half of its estimate.
type earlyNeighbors struct {
	upTo [earlyAges]neighbors
	// ages is the number of the ages in earlyAges that the run has reached.
	ages int
	// observed is false for a run that is not compared.
	observed bool
}

// noteEarlyNeighbors notes what has run beside a run when it reaches one of the ages.
func (c *Cell) noteEarlyNeighbors(now time.Time, r *runner, run *Run) {
	m := run.colocation
	if m == nil || run.class == 0 || run.group.spec.LongRunning {
		return
	}
	e := &m.early
	if e.ages == earlyAges || now.Sub(run.Started) < run.group.spec.Estimate>>(earlyAges-e.ages) {
		return
	}
	e.upTo[e.ages] = r.colocation.since(m, c.interference.millis(now), run.class, run.claimed.MilliCPU, r.info.Capacity.MilliCPU)
	e.ages++
}

func (r *Run) earlyNeighbors() earlyNeighbors {
	if r.colocation == nil {
		return earlyNeighbors{}
	}
	return r.colocation.early
}

// commonAge returns the index of the highest age that all observed runs of a step reached; -1 if there is none.
func commonAge(samples []durationSample) int {
	ages := earlyAges
	for i := range samples {
		if e := &samples[i].beside; e.observed {
			ages = min(ages, e.ages)
		}
	}
	return ages - 1
}
