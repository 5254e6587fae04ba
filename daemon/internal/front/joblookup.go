package front

import (
	"context"
	"net/http"
	"time"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/daemon/internal/cellsched"
	"rhubarbstall.example/daemon/internal/wait"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

// unknownJob returns the error for a job that does not exist or that the requester must not know of. The two cases have
// the same text, so that the ids of other accounts' jobs cannot be told from unused ones.
func unknownJob(id string) error { return codes.JobGone.Errorf("no job %s is known", id) }

// State returns the state of a job.
func (j *JobService) State(ctx context.Context, from requester, id string) (cell.JobState, error) {
	callCtx, cancel := context.WithTimeout(ctx, schedulerTimeout)
	found, err := j.sched.State(callCtx, id)
	cancel()
	if err == nil && found.Known {
		if !from.mayAccess(found.ClientAccount) {
			return "", unknownJob(id)
		}
		return found.State, nil
	}
	return j.storedState(ctx, from, id)
}

// storedState reads the state of a job from the store.
func (j *JobService) storedState(ctx context.Context, from requester, id string) (cell.JobState, error) {
	if from.accountsInUse {
		// Only the job's record tells its account.
		if err := j.checkAccessible(ctx, from, id); err != nil {
			return "", err
		}
	}
	item, err := j.get(ctx, cellsched.StateKey(id))
	if err == nil {
		saved, err := cell.ParseSavedJob(item.Value)
		if err != nil {
			return "", codes.Internal.Errorf("%w", err)
		}
		return saved.State, nil
	}
	if platform.StatusOf(err) != http.StatusNotFound {
		return "", codes.PlatformUnavailable.With("cannot read the state of the job from the store", codes.RetryAfter(time.Second))
	}
	if !from.accountsInUse {
		if err := j.checkAccessible(ctx, from, id); err != nil {
			return "", err
		}
	}
	return cell.Queued, nil
}

// checkAccessible returns JobGone unless the store has a job that the requester may see, and PlatformUnavailable if the
// store cannot be read.
func (j *JobService) checkAccessible(ctx context.Context, from requester, id string) error {
	found, err := j.lookUp(ctx, from, id)
	if err == nil && found != accessible {
		return unknownJob(id)
	}
	return err
}

// lookUp returns whether the store has a job, and an error only with presenceUnknown.
func (j *JobService) lookUp(ctx context.Context, from requester, id string) (presence, error) {
	item, err := j.get(ctx, cellsched.JobKey(id))
	switch {
	case platform.StatusOf(err) == http.StatusNotFound:
		return absent, nil
	case err != nil:
		return presenceUnknown, codes.PlatformUnavailable.With("cannot look up the job in the store", codes.RetryAfter(time.Second))
	case cellsched.IsTombstone(item.Value):
		return absent, nil
	case !from.accountsInUse:
		return accessible, nil
	}
	owner, err := cellsched.OwnerOf(id, item.Value)
	switch {
	case err != nil:
		return presenceUnknown, codes.Internal.Errorf("%w", err)
	case !from.mayAccess(owner):
		return foreign, nil
	}
	return accessible, nil
}

// lookUpQuickly is like lookUp, but does not retry beyond the timeout of one call, so that time is left to store the
// job if the store does not answer.
func (j *JobService) lookUpQuickly(ctx context.Context, from requester, id string) (presence, error) {
	ctx, cancel := context.WithTimeout(ctx, j.storeTimeout.Timeout())
	defer cancel()
	return j.lookUp(ctx, from, id)
}

// get reads a record and retries until ctx ends, unless the record does not exist.
func (j *JobService) get(ctx context.Context, key string) (platform.Item, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, j.storeTimeout.Timeout())
		item, err := j.store.Get(callCtx, key)
		cancel()
		if err == nil || platform.StatusOf(err) == http.StatusNotFound {
			return item, err
		}
		if !wait.For(ctx, retryInterval) || ctx.Err() != nil {
			return item, err
		}
	}
}
