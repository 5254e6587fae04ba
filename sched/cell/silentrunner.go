package cell

import "time"

// A runner that is silent may be gone, or it may only not be heard: the network, or the VM of the
// scheduler, is overloaded or cut off. Its leases bound how long it runs anything; how long its ends are
// awaited depends on whether it still has an entry.

// silentRunnerGrace is how long after the end of its leases a runner that still has an entry may be
// silent before its runs are given up. A runner removes no end that nobody has acknowledged, so one
// that lives and only cannot be reached may hold the successful end of a run. The grace is longer
// than a partition usually lasts; the entry of a runner that died is removed sooner.
const silentRunnerGrace = 8 * time.Second

// givenUpAt returns when the runs of a runner that stays silent are given up.
func (r *runner) givenUpAt(leasesExpireAt time.Time) time.Time {
	if r.listed {
		return leasesExpireAt.Add(silentRunnerGrace)
	}
	return leasesExpireAt
}

// giveUpSilentRunner treats the runs of a runner as lost once no run can exist there and its ends
// are no longer awaited.
func (c *Cell) giveUpSilentRunner(now time.Time, r *runner) {
	if !now.After(r.leasesExpireAt) || now.Sub(r.lastReportAt) <= c.cfg.OrderTimeout || (len(r.runs) == 0 && r.reported) {
		return
	}
	if now.After(r.givenUpAt(r.leasesExpireAt)) {
		c.giveUpRuns(now, r)
		return
	}
	if len(r.runs) > 0 && !r.endsAwaited {
		r.endsAwaited = true
		c.event(Event{Kind: EventSilentRunnerAwaited, Runner: r.info.ID, Count: len(r.runs), Age: now.Sub(r.lastReportAt)})
	}
}

// giveUpRuns treats the runs of a silent runner as lost, but for those that a restarted runner may hold for
// longer.
func (c *Cell) giveUpRuns(now time.Time, r *runner) {
	var lost []*Run
	for _, run := range r.sortedRuns() {
		if now.After(r.givenUpAt(run.heldUntil)) {
			lost = append(lost, run)
		}
	}
	c.loseRuns(now, r, lost, lostLeaseLapsed)
}

// holdUnanswered records that a call now may have started a run, or renewed its lease, without an answer.
// Calls give the end of a lease by the last known clock of the runner. If the runner has restarted, its
// clock is far behind, and it grants the longest lease instead.
func (c *Cell) holdUnanswered(now time.Time, run *Run) {
	run.heldUntil = now.Add(c.cfg.MaxLease + leaseMargin(c.cfg.MaxLease))
}

// checkInheritedRuns sets inheritedRunsKnown once every run of an earlier scheduler is known. These are
// on the runners that the stored roster lists, since none starts elsewhere.
func (c *Cell) checkInheritedRuns(now time.Time) {
	limit := c.takeoverAt.Add(c.cfg.InheritedRunTimeout)
	for _, r := range c.sortedRunners {
		if (c.inheritedRoster == nil || c.inheritedRoster[r.info.ID]) && c.inheritedRunsAwaited(now, r, limit) {
			return
		}
	}
	if c.inheritedRoster == nil && len(c.sortedRunners) == 0 && !now.After(limit) {
		return
	}
	c.inheritedRunsKnown = true
	c.event(Event{Kind: EventInheritedRunsKnown, Age: now.Sub(c.takeoverAt)})
}

// inheritedRunsAwaited reports whether a runner may still report runs of an earlier scheduler, or their ends.
// No lease of an earlier scheduler lasts longer than limit.
func (c *Cell) inheritedRunsAwaited(now time.Time, r *runner, limit time.Time) bool {
	if !r.reported {
		expiry := r.leasesExpireAt
		if expiry.After(limit) {
			expiry = limit
		}
		return !now.After(r.givenUpAt(expiry))
	}
	if r.endsComplete {
		return false
	}
	// The runner lists its other ends once the store holds those that it listed, however long the store is
	// down; they are given up only with a runner that is silent.
	return now.Sub(r.lastReportAt) <= c.cfg.OrderTimeout || !now.After(r.givenUpAt(r.leasesExpireAt))
}
