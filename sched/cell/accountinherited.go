package cell

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// After a takeover an account may have runs on runners that have not reported yet. What these can be follows from the
// stored states: tasks that are not done, of steps with a begin mark, and what jobs that ended shortly before still
// occupied. Runners hold no more of it than their capacity, except for best-effort tasks, which claim no processor time.
// Since the earlier scheduler kept to the limit as well, what it had running on the other runners was within the rest.

// endedUsageAge is for how long after the end of a job its runs may still exist on a runner that does not report. Leases
// and late orders take less than 30 s together; the rest is for VM clocks that differ.
const endedUsageAge = time.Minute

// inheritedUsage is what an account may have running on runners that have not reported to this scheduler.
type inheritedUsage struct {
	// claimed counts tasks that claim all of their size on a runner, unclaimed the others.
	claimed, unclaimed model.Resources
	// seen counts the inherited runs that runners have reported, also those that have ended since.
	seen model.Resources
}

// within returns the usage on runners of a capacity; nil if the capacity is not known.
func (u *inheritedUsage) within(capacity *model.Resources) model.Resources {
	if capacity == nil {
		return u.claimed.Add(u.unclaimed)
	}
	if capacity.IsZero() {
		return model.Resources{}
	}
	return model.Resources{
		MilliCPU:     min(u.claimed.MilliCPU, capacity.MilliCPU),
		MemoryMB:     min(u.claimed.MemoryMB, capacity.MemoryMB),
		Accelerators: min(u.claimed.Accelerators, capacity.Accelerators),
	}.Add(u.unclaimed)
}

// withinLimit bounds a usage by what the limit left beside the runs that have been reported.
func (u *inheritedUsage) withinLimit(usage, limit model.Resources) model.Resources {
	rest := func(usage, limit, seen int64) int64 {
		if limit == 0 {
			return usage
		}
		return min(usage, max(limit-seen, 0))
	}
	return model.Resources{
		MilliCPU:     rest(usage.MilliCPU, limit.MilliCPU, u.seen.MilliCPU),
		MemoryMB:     rest(usage.MemoryMB, limit.MemoryMB, u.seen.MemoryMB),
		Accelerators: rest(usage.Accelerators, limit.Accelerators, u.seen.Accelerators),
	}
}

// bucket returns the sum in which tasks are counted.
func (u *inheritedUsage) bucket(bestEffort bool) *model.Resources {
	if bestEffort {
		return &u.unclaimed
	}
	return &u.claimed
}

// SavedUsage is what the runs of a job occupied when it ended.
type SavedUsage struct {
	MilliCPU     int64 `json:"cpu,omitempty"`
	MemoryMB     int64 `json:"mem,omitempty"`
	Accelerators int64 `json:"acc,omitempty"`
	// BestEffort tells that best-effort tasks may be among them.
	BestEffort bool `json:"best_effort,omitempty"`
	// EndedMS is the Unix time of the end in ms, by the clock of the scheduler's VM.
	EndedMS int64 `json:"ended_ms"`
}

// savedUsage returns what the runs of an ended job still occupy of its account's limit; nil if it has none.
func (j *Job) savedUsage() *SavedUsage {
	if j.account == nil || j.occupied.IsZero() {
		return nil
	}
	u := &SavedUsage{MilliCPU: j.occupied.MilliCPU, MemoryMB: j.occupied.MemoryMB, Accelerators: j.occupied.Accelerators, EndedMS: j.finishedAt.UnixMilli()}
	for i := range j.Spec.Steps {
		u.BestEffort = u.BestEffort || j.Spec.Steps[i].BestEffort
	}
	return u
}

// inheritUsage counts what a stored job may have running on runners that have not reported.
func (c *Cell) inheritUsage(now time.Time, j *Job, saved *SavedJob) {
	a := j.account
	if a == nil || saved == nil || c.inheritedRunsKnown {
		return
	}
	if u := saved.Occupied; u != nil && now.Sub(time.UnixMilli(u.EndedMS)) < endedUsageAge {
		sum := a.inherited.bucket(u.BestEffort)
		*sum = sum.Add(model.Resources{MilliCPU: u.MilliCPU, MemoryMB: u.MemoryMB, Accelerators: u.Accelerators})
	}
	for g := range j.openGroups() {
		if !g.begunEarlier {
			continue
		}
		for i := range g.tasks {
			g.tasks[i].inherited = !g.tasks[i].done
		}
		sum := a.inherited.bucket(g.spec.BestEffort)
		*sum = sum.Add(g.inheritedUsage())
	}
}

// inheritedUsage returns what runs of a group that an earlier scheduler may have started can occupy. The copy of a done task
// may still run, and a task that is not done may run twice.
func (g *group) inheritedUsage() model.Resources {
	n := 0
	for i := range g.tasks {
		if g.spec.Speculative {
			n++
		}
		if g.tasks[i].inherited && !g.tasks[i].done {
			n++
		}
	}
	return g.spec.Size.Scale(int64(n))
}

// keepInheritedUsage adds to what an ended job occupies the runs that may exist on runners which have not reported: if this
// scheduler is replaced before they do, the next one has to count them.
func (c *Cell) keepInheritedUsage(j *Job) {
	if j.account == nil || c.inheritedRunsKnown {
		return
	}
	for g := range j.openGroups() {
		if g.begunEarlier {
			j.occupied = j.occupied.Add(g.inheritedUsage())
		}
	}
}

// noteInheritedRun records that a run of a task which an earlier scheduler may have started is known now. Other runs of the
// task can exist only as copies, or by orders that are counted themselves.
func (c *Cell) noteInheritedRun(g *group, index int) {
	t := &g.tasks[index]
	if !t.inherited {
		return
	}
	t.inherited = false
	u := &g.job.account.inherited
	u.seen = u.seen.Add(g.spec.Size)
	sum := u.bucket(g.spec.BestEffort)
	*sum = sum.Sub(g.spec.Size)
}
