package admission

import (
	"cmp"
	"slices"
	"time"
)

// QueueStatus describes the queue of one class. Running does not include requests that
// run on other entry VMs.
type QueueStatus struct {
	Department string
	Kind       string
	Waiting    int
	Running    int
	OldestWait time.Duration
	// Limit is an estimate of the longest queue: the patience times the measured start
	// rate of the kind, at most Config.MaxQueued.
	Limit int
	// Refused counts the requests that were refused since the queue was created, without
	// those refused because the controller as a whole had reached a limit of Config.
	Refused int64
}

// Queues returns the status of all queues, sorted by kind and department.
func (c *Controller) Queues(now time.Time) []QueueStatus {
	all := make([]QueueStatus, 0, len(c.queueOrder))
	for _, q := range c.queueOrder {
		all = append(all, QueueStatus{
			Department: q.class.Department,
			Kind:       q.class.Kind,
			Waiting:    q.waiting.Len(),
			Running:    q.running,
			OldestWait: q.oldestWait(now),
			Limit:      min(c.cfg.MaxQueued, int(q.kind.startRate(c.capacity+c.remoteCapacity)*q.class.Patience.Seconds())),
			Refused:    q.refused,
		})
	}
	slices.SortFunc(all, func(a, b QueueStatus) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Department, b.Department))
	})
	return all
}
