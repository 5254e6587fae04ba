package cell

import (
	"sort"
	"time"
)

// EndKind tells how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone        EndKind = "done"
	EndFailed      EndKind = "failed"
	EndStopped     EndKind = "stopped"
	EndLeaseLapsed EndKind = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang never started.
	EndGangIncomplete EndKind = "alone"
)

// ReportedRun is a run that a runner lists in its report.
type ReportedRun struct {
	Task       TaskRef
	Execution  int64
	Checkpoint string
	Percent    float64
	// Gauge is the tail latency of a serving task in ms, and the milli-CPU in use of any
	// other task.
	Gauge float64
}

// ReportedEnd is the end of a run that a runner lists in its report.
type ReportedEnd struct {
	Number     int64
	Task       TaskRef
	Execution  int64
	Kind       EndKind
	Checkpoint string
}

// Report lists the runs on a runner and the ends that the scheduler has not acknowledged yet.
type Report struct {
	Incarnation int64
	Running     []ReportedRun
	Ended       []ReportedEnd
	// Fence and AckedEnd are those of the call that the report answers.
	Fence    int64
	AckedEnd int64
}

// maxEndsPerReport is how many ends a runner lists at most. A full list may be incomplete,
// so the absence of a run from the report then does not prove that the run left no end.
const maxEndsPerReport = 500

// maxListedEnds is the number of listed ends from which on nothing starts on a runner: its ends cannot be acknowledged
// while starts get no answers, and the list must not become full.
const maxListedEnds = maxEndsPerReport / 2

// HandleReport updates the cell from a runner's report; sentAt is when the report was
// requested. It reports whether a decision may have something to do because of it. Most reports of
// a large cell only show that runs go on.
func (c *Cell) HandleReport(now, sentAt time.Time, id string, rep Report) (needsDecision bool) {
	c.lastUpdate = now
	r := c.runners[id]
	if r == nil {
		return false
	}
	wasUsable, runs, orders := !r.suspect && r.reported && r.fenced, len(r.runs), len(c.stops)+len(c.paces)
	c.applyReport(now, sentAt, r, rep)
	return !wasUsable || len(rep.Ended) > 0 || len(r.runs) != runs || len(c.stops)+len(c.paces) != orders
}

func (c *Cell) applyReport(now, sentAt time.Time, r *runner, rep Report) {
	c.reportCounts.add(r, &rep)
	r.lastReportAt, r.endsAwaited = now, false
	if rep.Fence < r.fence {
		// The call may have been executed in another incarnation than the present one, or have removed ends of it.
		c.event(Event{Kind: EventReportDiscarded, Runner: r.info.ID, Detail: "sent before a restart was noticed"})
		return
	}
	if r.fenced && r.incarnation != rep.Incarnation {
		c.noteRestart(now, r, restartByReport)
		return
	}
	r.fenced, r.suspect, r.incarnation = true, false, rep.Incarnation
	r.lastReportSentAt = sentAt
	c.settleListedStarts(sentAt, r, &rep)
	r.findLostAck(&rep)
	r.acknowledgedEnd = max(r.acknowledgedEnd, rep.AckedEnd)
	if !r.reported {
		// From now on the runner refuses orders of earlier schedulers, so no run there has
		// a lease that ends later than one granted by this scheduler now.
		r.leasesExpireAt = now.Add(c.cfg.Lease + leaseMargin(c.cfg.Lease))
		c.runnersChanged()
	}
	r.reported, r.listedEnds = true, len(rep.Ended)
	sort.Slice(rep.Ended, func(i, k int) bool { return rep.Ended[i].Number < rep.Ended[k].Number })
	for i := range rep.Ended {
		if e := &rep.Ended[i]; e.Number > r.lastEndNumber {
			c.checkEndNumber(r, e)
			r.lastEndNumber = e.Number
			c.handleEnd(now, r, e)
		}
	}
	listed := make(map[runKey]bool, len(rep.Running))
	for i := range rep.Running {
		row := &rep.Running[i]
		listed[runKey{row.Task, row.Execution}] = true
		c.handleListedRun(now, r, row)
	}
	if len(rep.Ended) < maxEndsPerReport {
		r.endsComplete = true
		for _, run := range r.sortedRuns() {
			if !listed[runKey{run.Task, run.Execution}] {
				c.handleUnlistedRun(now, sentAt, r, run)
			}
		}
	}
	c.adjustPaces(now, r)
}

// handleListedRun handles a run that a runner lists.
func (c *Cell) handleListedRun(now time.Time, r *runner, reported *ReportedRun) {
	run := r.runs[runKey{reported.Task, reported.Execution}]
	if run == nil {
		run = c.addUnknownRun(now, r, reported)
	}
	if run.Fence < r.fence {
		c.keepListedRun(now, r, run)
	}
	if run.Phase == Sending || run.Phase == OutcomeUnknown {
		c.confirmRun(now, run)
	}
	if run.unneeded() {
		c.orderStop(now, run)
	}
	if reported.Percent < run.percent && run.group != nil {
		run.group.percentFell = true
	}
	if reported.Percent != run.percent || run.lastProgressAt.IsZero() {
		run.percent, run.lastProgressAt = reported.Percent, now
	}
	run.checkpoint, run.gauge = reported.Checkpoint, reported.Gauge
	c.noteProgress(now, r, run)
	c.noteGauge(now, r, run)
}

// unneeded reports whether nothing waits for a run, so that it must be stopped.
func (r *Run) unneeded() bool {
	return r.orphan || (r.group != nil && r.group.job.state.Final())
}

// addUnknownRun adds a listed run that this scheduler did not start. It adopts the run if a
// task waits for it, and stops it otherwise.
func (c *Cell) addUnknownRun(now time.Time, r *runner, reported *ReportedRun) *Run {
	run := &Run{Task: reported.Task, Execution: reported.Execution, Runner: r.info.ID, Incarnation: r.incarnation, Fence: r.fence, Phase: Active, Started: now, confirmedAt: now, pacePercent: unknownPacePercent}
	j := c.jobs[reported.Task.Job]
	var g *group
	// A run of unknown size may occupy the whole runner.
	run.claimed = r.info.Capacity
	if j != nil {
		if st := j.stepOf(reported.Task); st != nil {
			g = j.group(reported.Task.Occurrence, reported.Task.Step)
			run.group, run.claimed = g, st.claim()
		}
	}
	c.attribute(run, j)
	r.addRun(run)
	if g != nil {
		c.noteInheritedRun(g, reported.Task.Index)
	}
	if g == nil || j.state.Final() || g.tasks[reported.Task.Index].done ||
		(len(g.tasks[reported.Task.Index].liveRuns) > 0 && !g.spec.Speculative) ||
		(g.spec.Gang && g.gangExecution > reported.Execution) {
		run.orphan = true
		c.event(Event{Kind: EventUnknownRunStopped, Task: reported.Task, Execution: reported.Execution, Runner: r.info.ID})
		c.orderStop(now, run)
		return run
	}
	c.event(Event{Kind: EventRunAdopted, Task: reported.Task, Execution: reported.Execution, Runner: r.info.ID})
	t := &g.tasks[reported.Task.Index]
	t.lastExecution = max(t.lastExecution, reported.Execution)
	run.adopted = true
	c.noteRunAdded(now, r, run)
	if g.spec.Gang {
		if reported.Execution > g.gangExecution {
			// Members of different executions never assemble.
			c.stopGang(now, g)
		}
		g.gangExecution = reported.Execution
		// Members make progress only once all of them are active.
		run.gangAssembled = reported.Percent > 0
	}
	run.isCopy = len(t.liveRuns) > 0
	if len(t.liveRuns) == 0 {
		g.waitingTasks--
	}
	t.liveRuns = append(t.liveRuns, run)
	g.markAssembled()
	c.markJobStarted(j)
	return run
}

// handleUnlistedRun handles a run that its runner does not list.
func (c *Cell) handleUnlistedRun(now, sentAt time.Time, r *runner, run *Run) {
	switch {
	case run.Fence < r.fence:
		// The run ended with an incarnation before, and the present one refuses its start order.
		c.handleLostRun(now, r, run, lostByRestart)
	case run.Phase == OutcomeUnknown && run.stopSentAt.IsZero() && run.outcomeUnknownSince.Before(sentAt):
		c.resolveUnlistedStart(now, r, run)
	case !run.stopAckedAt.IsZero() && run.stopAckedAt.Before(sentAt):
		c.handleLostRun(now, r, run, lostStopped)
	case run.Phase == Active && run.confirmedAt.Before(sentAt):
		c.handleLostRun(now, r, run, lostUnlisted)
	}
}

// confirmRun records that a run exists.
func (c *Cell) confirmRun(now time.Time, run *Run) {
	if run.stopSentAt.IsZero() {
		run.Phase = Active
	} else {
		run.Phase = Stopping
	}
	run.confirmedAt = now
	if run.group != nil {
		c.markJobStarted(run.group.job)
		run.group.markAssembled()
	}
}

func (c *Cell) markJobStarted(j *Job) {
	if j.started {
		return
	}
	j.started = true
	if j.state == Queued {
		j.state = Running
	}
}

func (r *runner) addRun(run *Run) {
	r.runs[runKey{run.Task, run.Execution}] = run
	run.slowdown = r.speed.slowdown
	r.sortedCache, r.endOrderCache = nil, nil
	r.used = r.used.Add(run.claimed)
	run.countRun()
}

func (r *runner) removeRun(run *Run) {
	k := runKey{run.Task, run.Execution}
	if r.runs[k] == run {
		delete(r.runs, k)
		r.sortedCache, r.endOrderCache = nil, nil
		r.used = r.used.Sub(run.claimed)
		run.uncountRun()
	}
}

// MarkReplaced records that another incarnation answers at the runner's address: no run of
// this incarnation is left, and orders to it are refused there.
func (c *Cell) MarkReplaced(now time.Time, id string) {
	r := c.runners[id]
	if r == nil {
		return
	}
	c.noteRestart(now, r, restartByAddress)
	r.suspect, r.reported, r.endsComplete = true, false, false
	c.loseRuns(now, r, r.sortedRuns(), lostWithInstance)
	r.leasesExpireAt = now
}

// Confirmed reports whether the runner ever listed the run or acknowledged its start.
func (r *Run) Confirmed() bool { return !r.confirmedAt.IsZero() }
