package plugins

import (
	"time"

	"rhubarbstall.example/sched/cache"
	"rhubarbstall.example/sched/framework"
)

// maxUrgentRunTime bounds the run time of urgent tasks that may use resources that are
// reserved for another job.
const maxUrgentRunTime = time.Minute

// Reservation rejects workers that are reserved for another job, unless the task
// ends before the expected start of that job or fits beside it (backfill).
type Reservation struct{}

// Name implements framework.Filter.
func (Reservation) Name() string { return "reservation" }

// Allow implements framework.Filter.
func (Reservation) Allow(t *framework.Task, n *cache.Node) bool {
	res := n.Reservation
	if res == nil || res.Job == t.Job {
		return true
	}
	// A short urgent task may delay the reserved start of another job, unless the
	// reservation blocks it or was made by preemption, which sets ExpiresAt.
	if t.Urgent && !res.BlocksUrgent && t.UpperRunTime > 0 && t.UpperRunTime < maxUrgentRunTime && res.ExpiresAt.IsZero() {
		return true
	}
	if t.UpperRunTime > 0 && !t.Now.Add(t.UpperRunTime).After(res.ExpectedStart) {
		return true
	}
	return t.Size.Fits(n.Free().Sub(res.Size))
}
