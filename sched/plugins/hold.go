package plugins

import (
	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/framework"
)

// Hold rejects workers whose room is kept for another job, unless the task ends
// before that job starts or fits beside it (backfill).
type Hold struct{}

// Name implements framework.Filter.
func (Hold) Name() string { return "reservation" }

// Allow implements framework.Filter.
func (Hold) Allow(t *framework.Task, n *cache.Node) bool {
	h := n.Hold
	if h == nil || h.Job == t.Job {
		return true
	}
	if t.LongRunTime > 0 && !t.Now.Add(t.LongRunTime).After(h.Start) {
		return true
	}
	return t.Size.Fits(n.Free().Sub(h.Need))
}
