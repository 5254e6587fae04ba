package cell

import (
	"iter"
	"slices"
	"time"
)

// A job that repeats may have tens of thousands of occurrences, of which few are due at a time. An occurrence
// takes memory only while it is open: from shortly before its due time until all its tasks are done. Of the
// others a job keeps a bit each.

// maxWaitingOccurrences is how many open occurrences of a job may wait for their first start. Occurrences are alike,
// so a later one finds no capacity that these leave. It bounds the memory of a job whose due times have all
// passed, for example while the cell had no runners.
const maxWaitingOccurrences = 32

// occurrence holds the groups of an open occurrence of a job, one for each step.
type occurrence struct {
	number int
	groups []*group
	// openGroups counts the groups with tasks that are not done.
	openGroups int
	// begun tells whether a group has its begin mark.
	begun bool
}

// due returns when an occurrence is due on the wall clock; zero if the job has no due times.
func (j *Job) due(number int) time.Time {
	if j.Spec.Repetitions == 0 {
		return time.Time{}
	}
	return j.Spec.FirstRun.Add(time.Duration(number) * j.Spec.Interval)
}

// findOccurrence returns an open occurrence, or nil, and the index at which it is, or would be, in j.occurrences.
func (j *Job) findOccurrence(number int) (*occurrence, int) {
	i, found := slices.BinarySearchFunc(j.occurrences, number, func(o *occurrence, n int) int { return o.number - n })
	if !found {
		return nil, i
	}
	return j.occurrences[i], i
}

// openOccurrence creates the groups of an occurrence. Those that saved holds continue from their stored states.
func (c *Cell) openOccurrence(now time.Time, j *Job, number int, saved []SavedGroup) {
	o := &occurrence{number: number, groups: make([]*group, len(j.Spec.Steps)), openGroups: len(j.Spec.Steps)}
	for s := range j.Spec.Steps {
		g := &group{job: j, queue: j.queue, occurrence: number, step: s, spec: &j.Spec.Steps[s], due: j.due(number)}
		g.tasks = make([]task, g.spec.Count)
		g.openTasks, g.waitingTasks = g.spec.Count, g.spec.Count
		g.openDependencies = j.countDependencies(s)
		o.groups[s] = g
	}
	for i := range saved {
		g := o.groups[saved[i].Index%len(j.Spec.Steps)]
		saved[i].restore(g)
		o.begun = o.begun || g.begun
	}
	_, at := j.findOccurrence(number)
	j.occurrences = slices.Insert(j.occurrences, at, o)
	if !o.begun {
		j.waitingOccurrences++
	}
	c.updateMemory(j)
	for s, g := range o.groups {
		if g.openTasks == 0 {
			c.handleStepDone(now, j, number, s)
		}
	}
	for _, g := range o.groups {
		c.addStartable(g)
	}
}

// markOccurrenceBegun records that the occurrence of a group has begun, after which a later one may be opened.
func (c *Cell) markOccurrenceBegun(g *group) {
	o, _ := g.job.findOccurrence(g.occurrence)
	if o == nil || o.begun {
		return
	}
	o.begun = true
	g.job.waitingOccurrences--
	c.scheduleNextOccurrence(g.job)
}

// finishOccurrence frees the groups of an occurrence whose tasks are all done.
func (c *Cell) finishOccurrence(j *Job, number int) {
	o, at := j.findOccurrence(number)
	j.occurrences = slices.Delete(j.occurrences, at, at+1)
	if !o.begun {
		j.waitingOccurrences--
	}
	j.finished.add(number, j.Spec.Occurrences())
	c.updateMemory(j)
	c.scheduleNextOccurrence(j)
}

// openGroups iterates over the groups of the open occurrences, by occurrence and step.
func (j *Job) openGroups() iter.Seq[*group] {
	return func(yield func(*group) bool) {
		for _, o := range j.occurrences {
			for _, g := range o.groups {
				if !yield(g) {
					return
				}
			}
		}
	}
}
