package front

import (
	"context"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/daemon/internal/cellsched"
	"rhubarbstall.example/daemon/internal/wait"
	"rhubarbstall.example/platform"
)

// uncancellableJob is like unknownJob for a cancellation.
func uncancellableJob(id string) error {
	return codes.JobGone.Errorf("no job %s is known; none with this id will be accepted", id)
}

// Cancel cancels a job. It returns once the cancellation is stored. JobGone means that the store has
// no such job and never will, also if an unconfirmed submission takes effect late.
func (j *JobService) Cancel(ctx context.Context, from requester, id string) error {
	callCtx, cancel := context.WithTimeout(ctx, cancelTimeout)
	known, err := j.sched.Cancel(callCtx, id, from.account)
	cancel()
	if err == nil && known {
		return nil
	}
	found, err := j.lookUp(ctx, from, id)
	if err == nil && found == absent {
		if err := j.preventSubmission(ctx, id); err != nil {
			return err
		}
		// The store has the job after all, perhaps from another account.
		found, err = j.lookUp(ctx, from, id)
	}
	switch {
	case err != nil:
		return err
	case found == foreign:
		return uncancellableJob(id)
	case found == absent:
		// The job was stored and has been removed meanwhile.
		return unknownJob(id)
	}
	txn := platform.Txn{Write: []platform.Write{{Key: cellsched.CancelKey(id), Value: []byte("{}")}}}
	return j.storeCancellation(ctx, func(ctx context.Context) error {
		_, err := j.store.Commit(ctx, txn)
		return err
	})
}

// preventSubmission makes sure that a job which the store does not have is not stored later either, and
// then returns JobGone. It returns nil if the store has the job after all.
func (j *JobService) preventSubmission(ctx context.Context, id string) error {
	gone := false
	if err := j.storeCancellation(ctx, func(ctx context.Context) (err error) {
		gone, err = cellsched.PutTombstone(ctx, j.store, id)
		return err
	}); err != nil || !gone {
		return err
	}
	return uncancellableJob(id)
}

// storeCancellation repeats a write until the store confirms it or ctx ends.
func (j *JobService) storeCancellation(ctx context.Context, write func(ctx context.Context) error) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, j.storeTimeout.Timeout())
		err := write(callCtx)
		cancel()
		if err == nil {
			return nil
		}
		if !wait.For(ctx, retryInterval) || ctx.Err() != nil {
			return codes.OutcomeUnknown.Errorf("the store did not confirm whether it stored the cancellation: %v", err)
		}
	}
}
