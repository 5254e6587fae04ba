package cell

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// refreshUnseenUsage computes what the accounts may occupy besides the known runs: start orders that runners may still
// carry out, runs whose account is not known, which count for each, and, after a takeover, runs of the earlier scheduler
// on runners that have not reported yet.
func (c *Cell) refreshUnseenUsage(now time.Time) {
	if len(c.accounts) == 0 {
		return
	}
	unreported := c.unreportedCapacity()
	for _, a := range c.accounts {
		a.unseen = c.unattributed.used
		if !c.inheritedRunsKnown {
			a.unseen = a.unseen.Add(a.inherited.withinLimit(a.inherited.within(unreported), a.highestLimit))
		}
	}
	for _, started := range c.unsettled {
		for i, u := range started {
			if u.account != nil && c.countsAlone(started[:i], u) {
				u.account.unseen = u.account.unseen.Add(u.size)
			}
		}
	}
	for _, a := range c.accounts {
		c.updateHold(now, a)
	}
}

// countsAlone reports whether a start order occupies capacity that neither a known run nor an earlier order of the same
// execution stands for.
func (c *Cell) countsAlone(earlier []*unsettledStart, u *unsettledStart) bool {
	if r := c.runners[u.runner]; r != nil && r.runs[u.key] != nil {
		return false
	}
	for _, other := range earlier {
		if other.runner == u.runner && other.key == u.key {
			return false
		}
	}
	return true
}

// attribute sets the account that a reported run counts for and how much it counts. A run of an order that is known
// counts as the order does. If only the account of a job is known, or not even that, the run may be as large as its
// runner; one of an unknown account counts for each.
func (c *Cell) attribute(run *Run, j *Job) {
	if j != nil {
		run.account, run.size = j.account, run.claimed
		if st := j.stepOf(run.Task); st != nil {
			run.size = st.Size
		}
		return
	}
	for _, u := range c.unsettled[run.Task] {
		if u.runner == run.Runner && u.account != nil {
			run.account, run.size = u.account, u.size
			return
		}
	}
	run.account, run.size = &c.unattributed, run.claimed
}

// countRun adds a run to what its account, and its job, occupy.
func (r *Run) countRun() {
	if r.account == nil {
		return
	}
	r.account.used = r.account.used.Add(r.size)
	if r.group != nil {
		r.group.job.occupied = r.group.job.occupied.Add(r.size)
	}
}

// uncountRun reverts countRun once the run has ended.
func (r *Run) uncountRun() {
	if r.account == nil {
		return
	}
	r.account.used = r.account.used.Sub(r.size)
	if r.group != nil {
		r.group.job.occupied = r.group.job.occupied.Sub(r.size)
	}
}

// unreportedCapacity returns the capacity of the runners on which an earlier scheduler may have runs that are not known;
// nil if it may have runs on any runner, because the stored roster could not be read.
func (c *Cell) unreportedCapacity() *model.Resources {
	var sum model.Resources
	if c.inheritedRunsKnown {
		return &sum
	}
	if c.inheritedRoster == nil {
		return nil
	}
	limit := c.takeoverAt.Add(c.cfg.InheritedRunTimeout)
	for _, r := range c.sortedRunners {
		if !r.reported && c.inheritedRoster[r.info.ID] && c.inheritedRunsAwaited(c.lastUpdate, r, limit) {
			sum = sum.Add(r.info.Capacity)
		}
	}
	return &sum
}
