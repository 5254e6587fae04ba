package plugins

import (
	"time"

	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/framework"
)

// urgentDelay bounds the run time of urgent work that may use held room.
const urgentDelay = time.Minute

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
	// Urgent work is short and may delay a reserved start of work that is not.
	if t.Urgent && !h.Firm && t.LongRunTime > 0 && t.LongRunTime < urgentDelay && h.Expires.IsZero() {
		return true
	}
	if t.LongRunTime > 0 && !t.Now.Add(t.LongRunTime).After(h.Start) {
		return true
	}
	return t.Size.Fits(n.Free().Sub(h.Need))
}
