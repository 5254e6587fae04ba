package relay

import (
	"cmp"
	"context"
	"errors"
	"time"

	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

// reasonInvalid is the reason of the refusal of a call that the relay cannot decode.
const reasonInvalid = "invalid"

// callRunner makes a call to its runner.
func (s *Server) callRunner(ctx context.Context, b *Batch, c *Call) Answer {
	to := platform.RunnerAddr{ID: c.Runner, Addr: c.Addr}
	a := Answer{Number: c.Number}
	token := cmp.Or(c.FencingToken, b.FencingToken)
	var clock platform.RunnerClock
	var err error
	switch {
	case c.Renew != nil:
		var report platform.RawReport
		report, clock, err = s.runners.RenewLeaseRaw(ctx, to, platform.RenewLeaseRequest{
			FencingToken: token, AckedEnd: c.Renew.AckedEnd,
			LeaseEnd: milliseconds(c.Renew.LeaseEndMS), Wait: milliseconds(c.Renew.WaitMS),
		})
		if err == nil {
			a.Report = &report
		}
	case c.Start != nil:
		clock, err = s.start(ctx, to, b, token, c.Start)
	case c.Stop != nil:
		var task cell.TaskRef
		if task, err = parseTask(c.Stop.Task); err == nil {
			clock, err = s.runners.Stop(ctx, to, task, c.Stop.Execution, token)
		}
	case c.Pace != nil:
		var task cell.TaskRef
		if task, err = parseTask(c.Pace.Task); err == nil {
			clock, err = s.runners.SetSpeed(ctx, to, task, c.Pace.Execution, token, c.Pace.Percent)
		}
	default:
		err = &platform.RefusedError{Reason: reasonInvalid}
	}
	a.ClockMS, a.Incarnation = clock.Reading.Milliseconds(), clock.Incarnation
	a.setError(err)
	return a
}

func (s *Server) start(ctx context.Context, to platform.RunnerAddr, b *Batch, token int64, o *Start) (platform.RunnerClock, error) {
	task, err := parseTask(o.Task)
	if err != nil {
		return platform.RunnerClock{}, err
	}
	if o.Payload < 0 || o.Payload >= len(b.Payloads) {
		return platform.RunnerClock{}, &platform.RefusedError{Reason: reasonInvalid}
	}
	return s.runners.Start(ctx, to, platform.StartOrder{
		Task: task, Execution: o.Execution, Payload: b.Payloads[o.Payload], Checkpoint: o.Checkpoint, Ticket: o.Ticket,
		LeaseEnd: milliseconds(o.LeaseEndMS), FencingToken: token,
	})
}

func parseTask(name string) (cell.TaskRef, error) {
	task, err := cell.ParseTaskRef(name)
	if err != nil {
		return task, &platform.RefusedError{Reason: reasonInvalid}
	}
	return task, nil
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// setError records why a call failed.
func (a *Answer) setError(err error) {
	var refused *platform.RefusedError
	switch {
	case err == nil:
	case errors.As(err, &refused):
		a.Refused = refused.Reason
	case errors.Is(err, platform.ErrNotSent):
		a.Failed, a.Detail = failedNotSent, err.Error()
	default:
		a.Failed, a.Detail = failedNoAnswer, err.Error()
	}
}
