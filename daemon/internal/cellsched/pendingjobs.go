package cellsched

import (
	"context"
	"time"
)

// Pending returns the number of jobs in a queue that have neither ended nor started any task, as of the
// last reading of the scheduler's load: callers ask often, and each question would be a call. It
// fails with ErrNoScheduler while the scheduler loads the jobs.
func (c *Client) Pending(ctx context.Context, queue string) (int, error) {
	r := &pendingReply{}
	if s := c.local.Current(); s != nil {
		r.Count, r.Ready = s.Pending(queue)
	} else if reading := c.schedulerLoad.Load(); reading != nil && reading.load.Pending != nil && time.Since(reading.readAt) < maxPendingAge {
		return reading.load.Pending[queue], nil
	} else {
		var err error
		if r, err = c.askPending(ctx, queue); err != nil {
			return 0, err
		}
	}
	if !r.Ready {
		return 0, ErrNoScheduler
	}
	return r.Count, nil
}

// askPending asks the scheduler how many jobs of a queue are pending. Callers that ask at the same time share
// a call: a scheduler whose load arrives late is busy enough.
func (c *Client) askPending(ctx context.Context, queue string) (*pendingReply, error) {
	shared := c.pendingCalls.DoChan(queue, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pendingTimeout)
		defer cancel()
		return callScheduler[pendingArgs, pendingReply](ctx, c, methodPending, &pendingArgs{queue})
	})
	select {
	case result := <-shared:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.(*pendingReply), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pendingTimeout is the time limit of a call that asks for pending jobs.
const pendingTimeout = 700 * time.Millisecond
