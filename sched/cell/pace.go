package cell

import "time"

// These rules handle best-effort work on the same runner as tasks that serve users.
// Best-effort work uses idle processor time and slows the serving tasks down by amounts
// that change within seconds. It is placed on runners without serving tasks where possible.
// Next to a serving task, its pace is lowered before the tail latency passes the target,
// and raised step by step afterwards.

const (
	// The pace of best-effort work is lowered while the tail latency exceeds
	// lowerPaceAboveShare of its target, and raised while it is less than
	// raisePaceBelowShare of it.
	lowerPaceAboveShare = 0.8
	raisePaceBelowShare = 0.5
	// paceInterval is the minimum time between two pace orders for a run; the latency that a
	// runner reports covers the last half second.
	paceInterval = 600 * time.Millisecond
	// paceStepPercent is by how much a pace is raised at a time.
	paceStepPercent = 20
	fullPacePercent = 100
	// unknownPacePercent marks a run whose pace an earlier scheduler may have set.
	unknownPacePercent = -1
)

// PaceOrder is an order to let a run work at a share of its full speed.
type PaceOrder struct {
	Run     *Run
	Percent int
}

// adjustPaces orders new paces for the best-effort runs on a runner after a report.
func (c *Cell) adjustPaces(now time.Time, r *runner) {
	ratio, serving := r.maxTailLatencyRatio()
	for _, run := range r.sortedRuns() {
		if run.Phase != Active || !run.isBestEffort() || now.Before(run.nextPaceAt) {
			continue
		}
		pace := run.pacePercent
		if pace == unknownPacePercent {
			pace = fullPacePercent
		}
		want := pace
		switch {
		case !serving:
			want = fullPacePercent
		case ratio >= 1:
			want = 0
		case ratio > lowerPaceAboveShare:
			want = pace / 2
		case ratio < raisePaceBelowShare:
			want = min(pace+paceStepPercent, fullPacePercent)
		}
		if want == run.pacePercent {
			continue
		}
		run.nextPaceAt = now.Add(paceInterval)
		c.paces = append(c.paces, PaceOrder{Run: run, Percent: want})
	}
}

// maxTailLatencyRatio returns the highest ratio of tail latency to target among the serving
// tasks on a runner, and whether there is such a task.
func (r *runner) maxTailLatencyRatio() (ratio float64, serving bool) {
	for _, run := range r.runs {
		if !run.hasTailTarget() {
			continue
		}
		serving = true
		ratio = max(ratio, run.gauge/float64(run.group.spec.TailLatencyTarget.Milliseconds()))
	}
	return ratio, serving
}

func (r *Run) hasTailTarget() bool {
	return r.group != nil && r.group.spec.LongRunning && r.group.spec.TailLatencyTarget >= time.Millisecond
}

func (r *Run) isBestEffort() bool { return r.group != nil && r.group.spec.BestEffort }

// interferesWith reports whether a task of the group and the runs on a runner would slow
// each other down.
func (g *group) interferesWith(r *runner) bool {
	if !g.spec.BestEffort && g.spec.TailLatencyTarget == 0 {
		return false
	}
	for _, run := range r.runs {
		if (g.spec.BestEffort && run.hasTailTarget()) || (g.spec.TailLatencyTarget > 0 && run.isBestEffort()) {
			return true
		}
	}
	return false
}

// RecordPaceAck records that a runner acknowledged a pace order. An order without an answer
// is repeated after a later report.
func (c *Cell) RecordPaceAck(run *Run, percent int) { run.pacePercent = percent }
