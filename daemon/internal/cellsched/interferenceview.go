package cellsched

import (
	"context"
	"time"

	"rhubarbstall.example/sched/cell"
)

// methodInterference lists the pairs of task classes that slow each other down.
const methodInterference = "cell.interference"

type interferenceReply struct {
	Pairs []cell.InterferenceView `json:"pairs"`
}

// InterferenceViews returns the pairs of task classes that are kept apart, sorted by name.
func (s *Scheduler) InterferenceViews() []cell.InterferenceView {
	s.mu.Lock()
	defer s.unlock()
	return s.cell.InterferenceViews(time.Now())
}

// InterferenceViews returns the pairs of task classes that the scheduler keeps apart, sorted by name. It fails with
// NoZoneScheduler if the scheduler cannot be reached.
func (c *Client) InterferenceViews(ctx context.Context) ([]cell.InterferenceView, error) {
	if s := c.local.Current(); s != nil {
		return s.InterferenceViews(), nil
	}
	r, err := callScheduler[empty, interferenceReply](ctx, c, methodInterference, &empty{})
	if err != nil {
		return nil, schedulerUnreachable(err)
	}
	return r.Pairs, nil
}
