package cell

import (
	"slices"
	"time"
)

// Stats counts the work and the runners of the cell, above all what waits and for what.
type Stats struct {
	// KnownJobs counts the jobs in memory, OpenJobs those that have not ended, and
	// WaitingJobs the open ones that wait for their first start.
	KnownJobs, OpenJobs, WaitingJobs int
	// EndedPerSecond is the recent rate of jobs that end. Bytes is the estimated memory of
	// all known jobs.
	EndedPerSecond float64
	Bytes          int64
	// Backlog counts the groups with waiting tasks, by the priority of their queue.
	Backlog []PriorityBacklog
	// WaitReasons counts the same groups by what they wait for.
	WaitReasons WaitReasons
	// Runs counts the runs that occupy capacity. Of these, Unconfirmed counts the runs
	// whose start order is still being sent, OutcomeUnknown those whose start order got no
	// answer, and Stopping those that were ordered to stop.
	Runs, Unconfirmed, OutcomeUnknown, Stopping int
	// Copies counts the runs of tasks that have an earlier run; see straggler.go.
	Copies int
	// DirtyStates counts the changed job states that wait for a write. OldestDirty is how
	// long ago the first of them changed; a failed write does not reset it.
	DirtyStates int
	OldestDirty time.Duration
	// Runners counts the listed runners. Of these, Suspect counts the runners that did not
	// answer the last call or were replaced by another incarnation, and NeverReported those
	// whose present incarnation has not reported to this scheduler. OldestReport is the age
	// of the oldest last report of a listed runner.
	Runners, Suspect, NeverReported int
	// SlowRunners and FastRunners count the runners whose speed placement takes into account; see runnerspeed.go.
	SlowRunners  int
	FastRunners  int
	OldestReport time.Duration
	// Reports counts the reports since the takeover.
	Reports ReportCounts
	// Interference counts what is known of it.
	Interference InterferenceStats
	// Accounts holds the usage of the client accounts, those that are closest to their limit first.
	Accounts []AccountUsage
	// AccountShares holds what the client accounts hold and wait for, by name.
	AccountShares []AccountStats
}

// AccountStats is what a client account holds and waits for.
type AccountStats struct {
	Name string
	// Share is the account's dominant share of the capacity of all runners, and WeightShare that of its weight in the
	// weights of all accounts.
	Share, WeightShare float64
	// WaitingJobs counts the jobs that have not started a task, as of the last load report, and WaitingGroups the groups
	// with waiting tasks, of which ExcessGroups are excess.
	WaitingJobs, WaitingGroups, ExcessGroups int
	// ExcessShare is the share of the recent jobs, with the rejected ones, that the account submitted beyond its weight.
	ExcessShare float64
}

// accountStats returns the present counts of the accounts.
func (c *Cell) accountStats(now time.Time) []AccountStats {
	if len(c.accounts) == 0 {
		return nil
	}
	weights, capacity := 0.0, c.totalCapacity()
	out := make([]AccountStats, 0, len(c.accounts))
	for _, name := range c.accountNames() {
		a := c.accounts[name]
		weights += a.Weight
		s := AccountStats{
			Name: name, Share: a.used.DominantShare(capacity), WeightShare: a.Weight, WaitingJobs: a.waitingJobs,
			ExcessShare: a.meter.excessShare(now, a.Weight),
		}
		if a.list != nil {
			for _, g := range a.list.ordered {
				if g.hasWaitingTasks() {
					s.WaitingGroups++
					if g.job.excess {
						s.ExcessGroups++
					}
				}
			}
		}
		out = append(out, s)
	}
	for i := range out {
		if weights > 0 {
			out[i].WeightShare /= weights
		}
	}
	return out
}

// ReportCounts counts the reports of runners and the runs and ends that they list.
type ReportCounts struct {
	Reports, Runs int64
	// Ends counts the reported ends. Repeated counts those of them that an earlier report
	// contained: a runner repeats an end until the scheduler acknowledges it.
	Ends, Repeated int64
}

func (n *ReportCounts) add(r *runner, rep *Report) {
	n.Reports++
	n.Runs += int64(len(rep.Running))
	n.Ends += int64(len(rep.Ended))
	if r.incarnation != rep.Incarnation {
		return
	}
	for i := range rep.Ended {
		if rep.Ended[i].Number <= r.lastEndNumber {
			n.Repeated++
		}
	}
}

// Since returns the difference to earlier counts.
func (n ReportCounts) Since(before ReportCounts) ReportCounts {
	return ReportCounts{
		Reports: n.Reports - before.Reports, Runs: n.Runs - before.Runs,
		Ends: n.Ends - before.Ends, Repeated: n.Repeated - before.Repeated,
	}
}

// PriorityBacklog counts the waiting groups and tasks of the queues of one priority.
type PriorityBacklog struct {
	Priority      int
	Groups, Tasks int
	// StartsPerSecond is the recent rate of starts of the priority's tasks.
	StartsPerSecond float64
}

// WaitReasons counts waiting groups by what they wait for.
type WaitReasons struct {
	// Inherited counts groups that wait until every run of an earlier scheduler is known.
	Inherited int
	// NotDue counts groups, and jobs with later occurrences, that wait for their due time. Paused
	// counts groups that wait for the end of a pause after a refusal or an incomplete start.
	NotDue, Paused int
	// MarkNotStored counts groups whose begin mark is not stored yet, and AwaitingAdvice
	// groups that wait for the advisor.
	MarkNotStored, AwaitingAdvice int
	// NoCapacity counts groups that wait for free capacity on the runners that may run
	// them.
	NoCapacity int
	// AccountLimit counts groups that the limit of their client account keeps from starting.
	AccountLimit int
}

// Stats returns the present counts; wall is the time of day. It visits the waiting groups,
// the unsaved jobs and the runs once each and allocates little.
func (c *Cell) Stats(now, wall time.Time) Stats {
	load := c.Load(now)
	p := Stats{KnownJobs: len(c.jobs), OpenJobs: load.Open, EndedPerSecond: load.EndedPerSecond, Bytes: load.Bytes, Reports: c.reportCounts}
	p.Interference = InterferenceStats{Classes: len(c.interference.classes.byKey), Pairs: len(c.interference.pairs)}
	for _, groups := range [][]*group{c.newlyStartable, c.backlog.ordered(), c.backlog.notDue, c.backlog.awaitingInherited} {
		for _, g := range groups {
			if !g.hasWaitingTasks() {
				continue
			}
			p.addGroup(g)
			*c.waitReason(&p.WaitReasons, now, wall, g)++
		}
	}
	p.addTimed(c.timed)
	if len(c.accounts) > 0 {
		p.Accounts = c.accountUsages()
	}
	for priority, rate := range c.starts.byPriority {
		p.backlogOf(priority).StartsPerSecond = rate.perSecond
	}
	slices.SortFunc(p.Backlog, func(a, b PriorityBacklog) int { return a.Priority - b.Priority })
	p.AccountShares = c.accountStats(now)
	p.DirtyStates = len(c.dirty)
	for _, j := range c.dirty {
		p.OldestDirty = max(p.OldestDirty, now.Sub(j.dirtySince))
	}
	for _, r := range c.sortedRunners {
		p.addRunner(now, r)
	}
	return p
}

// setDirtySince records since when a job's state waits for a write.
func (c *Cell) setDirtySince(j *Job) {
	if j.dirtySince.IsZero() {
		j.dirtySince = c.lastUpdate
	}
}

// addTimed counts the next occurrences of jobs, which are not open before they are due.
func (p *Stats) addTimed(jobs timedJobs) {
	for _, j := range jobs {
		p.WaitReasons.NotDue++
		if !j.started && j.firstStartable() == nil {
			p.WaitingJobs++
		}
	}
}

func (p *Stats) addGroup(g *group) {
	if !g.job.started && g.job.firstStartable() == g {
		p.WaitingJobs++
	}
	w := p.backlogOf(g.queue.Priority)
	w.Groups++
	w.Tasks += g.waitingTasks
}

// backlogOf returns the entry of a priority in the backlog, which it adds if there is none.
func (p *Stats) backlogOf(priority int) *PriorityBacklog {
	i := slices.IndexFunc(p.Backlog, func(w PriorityBacklog) bool { return w.Priority == priority })
	if i < 0 {
		i = len(p.Backlog)
		p.Backlog = append(p.Backlog, PriorityBacklog{Priority: priority})
	}
	return &p.Backlog[i]
}

// firstStartable returns the first startable group of the job; nil if there is none.
func (j *Job) firstStartable() *group {
	for g := range j.openGroups() {
		if g.startable {
			return g
		}
	}
	return nil
}

// waitReason returns a pointer to the counter in n for what a group waits for. A group that
// waits for several things counts for the first of them only: the advisor, for example, may
// be asked before the begin mark is stored.
func (c *Cell) waitReason(n *WaitReasons, now, wall time.Time, g *group) *int {
	switch {
	case !c.runsKnown(g):
		return &n.Inherited
	case now.Before(g.pausedUntil):
		return &n.Paused
	case wall.Before(g.due):
		return &n.NotDue
	case c.startsWithinLimit(g) == 0:
		return &n.AccountLimit
	case !g.beginMarkStored():
		return &n.MarkNotStored
	case g.queue.Advice != nil && (g.advice.inFlight > 0 || g.advice.asked == nil):
		return &n.AwaitingAdvice
	}
	return &n.NoCapacity
}

func (p *Stats) addRunner(now time.Time, r *runner) {
	p.Runs += len(r.runs)
	for _, run := range r.runs {
		if run.isCopy {
			p.Copies++
		}
		switch {
		case run.Phase == Stopping || !run.stopSentAt.IsZero():
			p.Stopping++
		case run.Phase == OutcomeUnknown:
			p.OutcomeUnknown++
		case run.Phase == Sending:
			p.Unconfirmed++
		}
	}
	if !r.listed {
		return
	}
	p.Runners++
	if r.suspect {
		p.Suspect++
	}
	if r.speed.slow {
		p.SlowRunners++
	}
	if r.speed.fast {
		p.FastRunners++
	}
	if !r.reported {
		p.NeverReported++
	}
	// A runner that has not reported yet counts from when it became known.
	p.OldestReport = max(p.OldestReport, now.Sub(r.lastReportAt))
}
