package gang

import (
	"cmp"
	"slices"
	"time"

	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
)

// Assignment is the part of a gang that starts on one worker.
type Assignment struct {
	Node  *cache.Node
	Tasks int
}

// Plan is the earliest start of a gang according to the estimated run times.
type Plan struct {
	Start       time.Time
	Assignments []Assignment
	// IdleTime is the time for which resources are free but unused until Start, summed
	// over the tasks.
	IdleTime time.Duration
}

// EndEstimator returns the estimated end of an attempt, and false if there is no
// estimate.
type EndEstimator func(*ledger.Run) (time.Time, bool)

// slot is room for one task on a node from a certain time on.
type slot struct {
	availableAt time.Time
	nodeIndex   int
}

// EarliestPlan returns the plan with the earliest start for a gang of tasks of the same
// size on the given nodes.
// It returns false if the attempts with an estimated end do not free enough resources
// for all tasks.
func EarliestPlan(now time.Time, nodes []*cache.Node, size model.Resources, tasks int, end EndEstimator) (Plan, bool) {
	var slots []slot
	for i, n := range nodes {
		slots = appendSlots(slots, now, i, n, size, tasks, end)
	}
	if len(slots) < tasks {
		return Plan{}, false
	}
	slices.SortStableFunc(slots, func(a, b slot) int {
		return cmp.Or(a.availableAt.Compare(b.availableAt), cmp.Compare(a.nodeIndex, b.nodeIndex))
	})
	plan := Plan{Start: slots[tasks-1].availableAt}
	tasksOnNode := make([]int, len(nodes))
	for _, slot := range slots[:tasks] {
		plan.IdleTime += plan.Start.Sub(slot.availableAt)
		tasksOnNode[slot.nodeIndex]++
	}
	for i, count := range tasksOnNode {
		if count > 0 {
			plan.Assignments = append(plan.Assignments, Assignment{nodes[i], count})
		}
	}
	return plan, true
}

// appendSlots appends the slots of a node, at most maxTasks: those available now and
// those that become available when an attempt on the node ends.
func appendSlots(slots []slot, now time.Time, nodeIndex int, n *cache.Node, size model.Resources, maxTasks int, end EndEstimator) []slot {
	free := n.Free()
	added := int64(0)
	addSlots := func(t time.Time) {
		for count := min(ledger.FitCount(size, free), int64(maxTasks)); added < count; added++ {
			slots = append(slots, slot{t, nodeIndex})
		}
	}
	addSlots(now)
	type runEnd struct {
		at  time.Time
		run *ledger.Run
	}
	var runEnds []runEnd
	for _, r := range n.Runs {
		if t, ok := end(r); ok {
			if t.Before(now) {
				t = now
			}
			runEnds = append(runEnds, runEnd{t, r})
		}
	}
	slices.SortStableFunc(runEnds, func(a, b runEnd) int { return a.at.Compare(b.at) })
	for _, e := range runEnds {
		free = free.Add(e.run.Size)
		addSlots(e.at)
	}
	return slots
}
