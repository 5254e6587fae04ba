package cell

import (
	"slices"
	"time"
)

// AddJob adds a job; saved is its stored state, nil for a new job. It reports false if the
// cell already has the job.
func (c *Cell) AddJob(now time.Time, j *Job, saved *SavedJob) bool {
	if c.jobs[j.ID] != nil {
		return false
	}
	j.Accepted = now.Add(-j.PriorWait)
	j.measureChains()
	j.state, j.savedState = Queued, Queued
	c.jobs[j.ID] = j
	c.updateMemory(j)
	c.servedQueueNames[j.Queue] = true
	j.queue, j.account = c.queueOf(j), c.accountNamed(j.ClientAccount)
	if j.AccountPolicy != nil {
		c.learnAccount(*j.AccountPolicy)
	}
	j.QueuePolicy, j.AccountPolicy = nil, nil
	if saved != nil {
		j.state, j.savedState, j.started = saved.State, saved.State, saved.Started
	}
	if j.state.Final() {
		j.finishedAt = now
		c.inheritUsage(now, j, saved)
		c.dropTasks(j)
		return true
	}
	c.openJobs++
	if j.account != nil {
		c.unmetered = append(c.unmetered, j)
	}
	if saved != nil {
		c.restoreOccurrences(now, j, saved)
		c.inheritUsage(now, j, saved)
	}
	if j.Spec.Repetitions == 0 {
		if o, _ := j.findOccurrence(0); o == nil && !j.finished.contains(0) {
			c.openOccurrence(now, j, 0, nil)
		}
	} else {
		c.scheduleNextOccurrence(j)
	}
	if !j.state.Final() && j.finished.count == j.Spec.Occurrences() {
		c.endJob(now, j, Completed)
	}
	return true
}

// addStartable adds a group to the startable ones if it has waiting tasks and no open
// dependencies.
func (c *Cell) addStartable(g *group) {
	if g.startable || g.openDependencies > 0 || g.waitingTasks == 0 || g.job.state.Final() {
		return
	}
	g.startable = true
	c.newlyStartable = append(c.newlyStartable, g)
}

// handleStepDone removes a finished step from the open dependencies of other groups, and
// adds those that have none left to the startable groups. It completes the job if no occurrence
// is left.
func (c *Cell) handleStepDone(now time.Time, j *Job, number, step int) {
	o, _ := j.findOccurrence(number)
	if o == nil {
		return
	}
	o.openGroups--
	if o.openGroups == 0 {
		c.finishOccurrence(j, number)
		if j.finished.count == j.Spec.Occurrences() && !j.state.Final() {
			c.endJob(now, j, Completed)
		}
		return
	}
	for _, g := range o.groups {
		if slices.Contains(g.spec.DependsOn, step) {
			g.openDependencies--
			c.addStartable(g)
		}
	}
}

// endJob sets the final state of a job and stops its remaining runs.
func (c *Cell) endJob(now time.Time, j *Job, state JobState) {
	j.state = state
	j.finishedAt = now
	c.keepInheritedUsage(j)
	c.unscheduleOccurrences(j)
	c.openJobs--
	c.forgetExcess(j)
	c.finishedJobs.add(now)
	c.markDirty(j)
	j.writeAwaited = true
	c.event(Event{Kind: EventJobFinished, Task: TaskRef{Job: j.ID}, Detail: string(state), Age: now.Sub(j.Accepted)})
	if state == Completed {
		// The remaining runs are members of gangs, which end together; speculative copies
		// were stopped earlier.
		return
	}
	for g := range j.openGroups() {
		for i := range g.tasks {
			for _, run := range append([]*Run(nil), g.tasks[i].liveRuns...) {
				c.stopRunIfPresent(now, run)
			}
		}
	}
}

// Cancel cancels a job that has not ended. It reports false if the job is not known.
func (c *Cell) Cancel(now time.Time, id string) bool {
	j := c.jobs[id]
	if j == nil {
		return false
	}
	if !j.state.Final() {
		c.endJob(now, j, Cancelled)
	}
	return true
}

// Job returns a known job, or nil.
func (c *Cell) Job(id string) *Job { return c.jobs[id] }

// JobCount returns the number of known jobs.
func (c *Cell) JobCount() int { return len(c.jobs) }

// pendingJobs returns, by queue, the number of jobs that have neither ended nor started any task, and counts
// them by account. It visits all known jobs.
func (c *Cell) pendingJobs() map[string]int {
	pending := make(map[string]int, len(c.queues))
	for name := range c.queues {
		pending[name] = 0
	}
	for _, a := range c.accounts {
		a.waitingJobs = 0
	}
	for _, j := range c.jobs {
		if !j.started && !j.state.Final() {
			pending[j.Queue]++
			if j.account != nil {
				j.account.waitingJobs++
			}
		}
	}
	return pending
}

// EndedJobs returns up to limit jobs that ended before the given time and whose final state
// is stored.
func (c *Cell) EndedJobs(before time.Time, limit int) []string {
	var ids []string
	for id, j := range c.jobs {
		if len(ids) == limit {
			break
		}
		if j.state.Final() && j.savedState == j.state && j.finishedAt.Before(before) {
			ids = append(ids, id)
		}
	}
	return ids
}

// RemoveJob removes a job from memory.
func (c *Cell) RemoveJob(id string) {
	if j := c.jobs[id]; j != nil {
		if !j.state.Final() {
			c.openJobs--
			c.forgetExcess(j)
		}
		c.memoryBytes -= j.memoryBytes
		c.unscheduleOccurrences(j)
		j.state = Cancelled
		delete(c.jobs, id)
		delete(c.dirty, id)
	}
}

func (c *Cell) markDirty(j *Job) {
	j.bumpVersion()
	c.setDirtySince(j)
	c.dirty[j.ID] = j
}

// countDependencies returns how many steps a step depends on; the caller may have named one several times.
func (j *Job) countDependencies(step int) int {
	n, seen := 0, make([]bool, len(j.Spec.Steps))
	for _, dependency := range j.Spec.Steps[step].DependsOn {
		if !seen[dependency] {
			seen[dependency] = true
			n++
		}
	}
	return n
}
