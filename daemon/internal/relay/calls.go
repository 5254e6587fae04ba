package relay

import (
	"context"
	"fmt"
	"time"

	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

// Runners makes calls to runners. *platform.Runners makes them directly.
type Runners interface {
	RenewLease(ctx context.Context, to platform.RunnerAddr, req platform.RenewLeaseRequest) (cell.Report, platform.RunnerClock, error)
	Start(ctx context.Context, to platform.RunnerAddr, o platform.StartOrder) (platform.RunnerClock, error)
	Stop(ctx context.Context, to platform.RunnerAddr, task cell.TaskRef, execution, fencingToken int64) (platform.RunnerClock, error)
	SetSpeed(ctx context.Context, to platform.RunnerAddr, task cell.TaskRef, execution, fencingToken int64, percent int) (platform.RunnerClock, error)
}

var _ Runners = (*Pool)(nil)

// defaultTimeout is the time limit of a call whose context has none.
const defaultTimeout = 2 * time.Second

// routeWithToken returns the session of the relay through which to call a runner with a fencing token; nil to call
// it directly.
func (p *Pool) routeWithToken(runner string, token int64) (*session, error) {
	x, err := p.route(runner)
	if err != nil || x == nil || x.passesToken(token) {
		return x, err
	}
	return nil, nil
}

// RenewLease implements Runners.
func (p *Pool) RenewLease(ctx context.Context, to platform.RunnerAddr, req platform.RenewLeaseRequest) (cell.Report, platform.RunnerClock, error) {
	x, err := p.routeWithToken(to.ID, req.FencingToken)
	switch {
	case err != nil:
		return cell.Report{}, platform.RunnerClock{}, err
	case x == nil:
		return p.config.Direct.RenewLease(ctx, to, req)
	}
	a, clock, err := x.call(ctx, to, "", Call{FencingToken: req.FencingToken, Renew: &Renew{AckedEnd: req.AckedEnd, LeaseEndMS: req.LeaseEnd.Milliseconds(), WaitMS: req.Wait.Milliseconds(), idle: req.Idle}})
	if err != nil {
		return cell.Report{}, clock, err
	}
	if a.Report == nil {
		return cell.Report{}, clock, fmt.Errorf("%w: the relay returned no report", platform.ErrNoAnswer)
	}
	report, err := a.Report.Decode()
	return report, clock, err
}

// Start implements Runners.
func (p *Pool) Start(ctx context.Context, to platform.RunnerAddr, o platform.StartOrder) (platform.RunnerClock, error) {
	x, err := p.routeWithToken(to.ID, o.FencingToken)
	switch {
	case err != nil:
		return platform.RunnerClock{}, err
	case x == nil:
		return p.config.Direct.Start(ctx, to, o)
	}
	_, clock, err := x.call(ctx, to, o.Payload, Call{FencingToken: o.FencingToken, Start: &Start{
		Run: Run{o.Task.String(), o.Execution}, Checkpoint: o.Checkpoint, Ticket: o.Ticket, LeaseEndMS: o.LeaseEnd.Milliseconds(),
	}})
	return clock, err
}

// Stop implements Runners.
func (p *Pool) Stop(ctx context.Context, to platform.RunnerAddr, task cell.TaskRef, execution, fencingToken int64) (platform.RunnerClock, error) {
	x, err := p.routeWithToken(to.ID, fencingToken)
	switch {
	case err != nil:
		return platform.RunnerClock{}, err
	case x == nil:
		return p.config.Direct.Stop(ctx, to, task, execution, fencingToken)
	}
	_, clock, err := x.call(ctx, to, "", Call{FencingToken: fencingToken, Stop: &Run{task.String(), execution}})
	return clock, err
}

// SetSpeed implements Runners.
func (p *Pool) SetSpeed(ctx context.Context, to platform.RunnerAddr, task cell.TaskRef, execution, fencingToken int64, percent int) (platform.RunnerClock, error) {
	x, err := p.routeWithToken(to.ID, fencingToken)
	switch {
	case err != nil:
		return platform.RunnerClock{}, err
	case x == nil:
		return p.config.Direct.SetSpeed(ctx, to, task, execution, fencingToken, percent)
	}
	_, clock, err := x.call(ctx, to, "", Call{FencingToken: fencingToken, Pace: &Pace{Run{task.String(), execution}, percent}})
	return clock, err
}

// call makes a call through the relay and waits for its answer.
func (x *session) call(ctx context.Context, to platform.RunnerAddr, payload string, c Call) (*Answer, platform.RunnerClock, error) {
	if c.FencingToken == x.pool.config.FencingToken {
		c.FencingToken = 0
	}
	c.Runner, c.Addr, c.TimeoutMS = to.ID, to.Addr, defaultTimeout.Milliseconds()
	if deadline, ok := ctx.Deadline(); ok {
		c.TimeoutMS = max(1, time.Until(deadline).Milliseconds())
	}
	p := &pendingCall{call: c, payload: payload, done: make(chan outcome, 1)}
	if !x.enqueue(p) {
		return nil, platform.RunnerClock{}, fmt.Errorf("%w: %w", ErrNotPassedOn, ErrLost)
	}
	select {
	case o := <-p.done:
		if o.err != nil {
			return nil, platform.RunnerClock{}, o.err
		}
		clock := platform.RunnerClock{Reading: milliseconds(o.answer.ClockMS), Incarnation: o.answer.Incarnation}
		return &o.answer, clock, o.answer.err()
	case <-ctx.Done():
		if x.abandon(p) {
			return nil, platform.RunnerClock{}, fmt.Errorf("%w: %w", platform.ErrNoAnswer, ctx.Err())
		}
		return nil, platform.RunnerClock{}, fmt.Errorf("%w: %w", ErrNotPassedOn, ctx.Err())
	}
}

// err returns nil for a call that succeeded, and otherwise the same error that a direct call through
// platform.Runners returns, or ErrNotPassedOn if the relay did not make the call.
func (a *Answer) err() error {
	switch {
	case a.Refused != "":
		return &platform.RefusedError{Reason: a.Refused}
	case a.Failed == failedNotPassedOn:
		return fmt.Errorf("%w: %s", ErrNotPassedOn, a.Detail)
	case a.Failed == failedNotSent:
		return fmt.Errorf("%w: %s", platform.ErrNotSent, a.Detail)
	case a.Failed != "":
		return fmt.Errorf("%w: %s", platform.ErrNoAnswer, a.Detail)
	}
	return nil
}
