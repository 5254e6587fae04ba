package caller

import (
	"context"
	"fmt"
	"time"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/api/oas"
	"rhubarbstall.example/standin/history"
)

// pollInterval is the interval between queries for a job or a zone scheduler.
const pollInterval = 100 * time.Millisecond

// Submit submits a job once to an entry VM. The returned job is nil if the
// submission failed.
func (c *Caller) Submit(ctx context.Context, entry int, spec *oas.JobSpec) (*oas.Job, Result) {
	e := history.Event{
		Kind: spec.Kind, Department: spec.Department, Tasks: spec.Tasks.Or(1),
		NoRepeat: spec.NoRepeat.Or(false), Key: spec.IdempotencyKey.Or(""), Owner: c.entries[entry].Name,
	}
	e.Type = history.JobSent
	c.history.Write(e)
	job, err := c.clients[entry].SubmitJob(ctx, spec)
	if err != nil {
		res := resultOfError(err)
		e.Type = history.JobRefused
		e.Outcome, e.Code, e.Reason = res.Outcome, int(res.Code), res.Message
		c.history.Write(e)
		return nil, res
	}
	e.Type, e.Job = history.JobAcked, job.ID
	c.history.Write(e)
	return job, Result{Outcome: history.OutcomeAnswered}
}

// SubmitUntilAcked submits a job to the entry VMs in turn until one acknowledges
// it, one refuses the input, or ctx is done. The job needs an idempotency key,
// because an acknowledgment may be lost and the job submitted again.
func (c *Caller) SubmitUntilAcked(ctx context.Context, spec *oas.JobSpec) (*oas.Job, error) {
	for {
		job, res := c.Submit(ctx, c.NextEntry(), spec)
		if job != nil {
			return job, nil
		}
		if res.Code/1000 == 1 || !waitBeforeRetry(ctx, res.RetryAfter) {
			return nil, fmt.Errorf("submit job with key %q: code %d: %s", spec.IdempotencyKey.Or(""), res.Code, res.Message)
		}
	}
}

// GetJob queries an entry VM for a job. It returns nil if the call fails or the
// entry VM does not know the job.
func (c *Caller) GetJob(ctx context.Context, entry int, id string) *oas.Job {
	job, err := c.clients[entry].GetJob(ctx, oas.GetJobParams{ID: id})
	if err != nil {
		if resultOfError(err).Code == codes.NotFound {
			c.history.Write(history.Event{Type: history.JobMissing, Job: id, Owner: c.entries[entry].Name})
		}
		return nil
	}
	c.history.Write(history.Event{
		Type: history.JobSeen, Job: id, State: string(job.State), Tasks: job.Counts.Succeeded,
		Owner: c.entries[entry].Name,
	})
	return job
}

// AwaitJob queries a job from the entry VMs in turn until done returns true. If ctx
// is done first, it returns the last job received, or nil, and an error.
func (c *Caller) AwaitJob(ctx context.Context, id string, done func(*oas.Job) bool) (*oas.Job, error) {
	var last *oas.Job
	for {
		if job := c.GetJob(ctx, c.NextEntry(), id); job != nil {
			last = job
			if done(job) {
				return job, nil
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			if last == nil {
				return nil, fmt.Errorf("await job %s: no entry VM returned it", id)
			}
			return last, fmt.Errorf("await job %s: state is still %s, task counts %+v", id, last.State, last.Counts)
		}
	}
}

// Cancel cancels a job. It calls the entry VMs in turn until a call succeeds or ctx
// is done.
func (c *Caller) Cancel(ctx context.Context, id string) error {
	for {
		_, err := c.clients[c.NextEntry()].CancelJob(ctx, oas.CancelJobParams{ID: id})
		if err == nil {
			return nil
		}
		if !waitBeforeRetry(ctx, resultOfError(err).RetryAfter) {
			return fmt.Errorf("cancel job %s: %w", id, err)
		}
	}
}
