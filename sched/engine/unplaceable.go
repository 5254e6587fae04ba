package engine

import "rhubarbstall.example/sched/framework"

// unplaceableTasks holds tasks for which no worker, or no preemption, was found in this
// round. Free capacity only shrinks during a round, so a task that is at least as large
// and runs at least as long fits nowhere either.
type unplaceableTasks struct {
	list []framework.Task
}

// maxUnplaceableTasks bounds the cost of a lookup. Tasks beyond the limit are not
// recorded, so workers are searched again for tasks like them.
const maxUnplaceableTasks = 16

func (f *unplaceableTasks) add(t *framework.Task) {
	if len(f.list) < maxUnplaceableTasks {
		f.list = append(f.list, *t)
	}
}

// includes reports whether a task is at least as large and long as a recorded one. A
// recorded NoRepeat task excludes only other NoRepeat tasks, because these may not run
// on workers that are being probed.
func (f *unplaceableTasks) includes(t *framework.Task) bool {
	for i := range f.list {
		x := &f.list[i]
		longer := t.UpperRunTime == 0 || x.UpperRunTime > 0 && t.UpperRunTime >= x.UpperRunTime
		if longer && x.Size.Fits(t.Size) && (!x.Job.NoRepeat || t.Job.NoRepeat) {
			return true
		}
	}
	return false
}
