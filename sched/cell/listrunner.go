package cell

import (
	"sort"
	"time"
)

// SetRunner records the published entry of a runner. It reports whether the entry shows that a known runner has
// restarted.
func (c *Cell) SetRunner(now time.Time, info RunnerInfo) (restarted bool) {
	r := c.runners[info.ID]
	if r == nil {
		r = &runner{runs: make(map[runKey]*Run), lastReportAt: now, token: c.removedTokens[info.ID]}
		r.fence, r.unsettled = r.token, c.unsettledOn(info.ID)
		// An earlier scheduler may have started runs there.
		r.leasesExpireAt = c.takeoverAt.Add(c.cfg.InheritedRunTimeout)
		c.runners[info.ID] = r
		r.info = info
		c.sortedRunners = append(c.sortedRunners, r)
		sort.Slice(c.sortedRunners, func(i, k int) bool { return c.sortedRunners[i].info.ID < c.sortedRunners[k].info.ID })
		c.runnersChanged()
	}
	if r.info.Capacity != info.Capacity {
		c.runnersChanged()
	}
	// The entry may be older than the last report.
	restarted = r.fenced && info.Incarnation > r.incarnation
	c.forgetSpeedOfOther(r, info)
	if restarted {
		c.noteRestart(now, r, restartByEntry)
	}
	r.info = info
	r.listed = true
	return restarted
}

// UnlistRunner records that the entry of a runner was removed. Its runs occupy capacity
// until they end or their lease expires.
func (c *Cell) UnlistRunner(id string) {
	if r := c.runners[id]; r != nil {
		r.listed = false
	}
}

// MarkUnreachable records that a runner did not answer. No new runs start there until its
// next report.
func (c *Cell) MarkUnreachable(id string) {
	if r := c.runners[id]; r != nil && !r.suspect {
		r.suspect = true
		c.event(Event{Kind: EventRunnerSuspect, Runner: id, Detail: "no answer"})
	}
}

// RenewLease records that a call that renews the leases of the runner's runs is sent now.
func (c *Cell) RenewLease(now time.Time, id string) {
	if r := c.runners[id]; r != nil {
		r.extendLease(now, c.cfg.Lease)
		r.leaseGrantedAt = now
		for _, run := range r.runs {
			if run.Phase == OutcomeUnknown {
				c.holdUnanswered(now, run)
			}
		}
	}
}

// extendLease records that runs may exist for the length of a lease that begins now.
func (r *runner) extendLease(now time.Time, lease time.Duration) {
	if bound := now.Add(lease + leaseMargin(lease)); bound.After(r.leasesExpireAt) {
		r.leasesExpireAt = bound
	}
}

// CanRemoveRunner reports whether the runner can be removed: it has no entry, and no run
// can exist there, even if it starts again.
func (c *Cell) CanRemoveRunner(now time.Time, id string) bool {
	r := c.runners[id]
	return r == nil || (!r.listed && len(r.runs) == 0 && len(r.unsettled) == 0 && now.After(r.leasesExpireAt))
}

// RemoveRunner removes a runner for which CanRemoveRunner holds.
func (c *Cell) RemoveRunner(id string) {
	r := c.runners[id]
	if r == nil {
		return
	}
	delete(c.runners, id)
	if r.token > 0 {
		c.removedTokens[id] = r.token
	}
	c.runnersChanged()
	c.storedRosterStale = c.storedRosterStale || r.inStoredRoster
	for i, x := range c.sortedRunners {
		if x == r {
			c.sortedRunners = append(c.sortedRunners[:i], c.sortedRunners[i+1:]...)
			break
		}
	}
}
