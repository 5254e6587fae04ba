package cell

import (
	"container/heap"
	"time"
)

// timedJobs is a heap of the jobs with an occurrence to be opened, by its due time.
type timedJobs []*Job

func (h timedJobs) Len() int           { return len(h) }
func (h timedJobs) Less(i, k int) bool { return h[i].nextDue.Before(h[k].nextDue) }
func (h timedJobs) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].timedIndex, h[k].timedIndex = i+1, k+1
}

// Push is part of heap.Interface.
func (h *timedJobs) Push(x any) {
	j := x.(*Job)
	*h = append(*h, j)
	j.timedIndex = len(*h)
}

// Pop is part of heap.Interface.
func (h *timedJobs) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	j.timedIndex = 0
	return j
}

// scheduleNextOccurrence makes a job's next occurrence open when it is due, unless too many wait already.
func (c *Cell) scheduleNextOccurrence(j *Job) {
	for j.nextOccurrence < j.Spec.Occurrences() {
		o, _ := j.findOccurrence(j.nextOccurrence)
		if o == nil && !j.finished.contains(j.nextOccurrence) {
			break
		}
		j.nextOccurrence++
	}
	if j.timedIndex > 0 || j.state.Final() || j.nextOccurrence >= j.Spec.Occurrences() || j.waitingOccurrences >= maxWaitingOccurrences {
		return
	}
	j.nextDue = j.due(j.nextOccurrence)
	heap.Push(&c.timed, j)
}

// unscheduleOccurrences makes no further occurrence of a job open.
func (c *Cell) unscheduleOccurrences(j *Job) {
	if j.timedIndex > 0 {
		heap.Remove(&c.timed, j.timedIndex-1)
	}
}

// openDueOccurrences opens the occurrences that are due soon.
func (c *Cell) openDueOccurrences(now, wall time.Time) {
	for len(c.timed) > 0 && !wall.Before(c.timed[0].nextDue.Add(-beginMarkLead)) {
		j := heap.Pop(&c.timed).(*Job)
		c.openOccurrence(now, j, j.nextOccurrence, nil)
		c.scheduleNextOccurrence(j)
	}
}
