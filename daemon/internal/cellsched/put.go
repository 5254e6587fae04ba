package cellsched

import (
	"context"
	"errors"
	"net/http"

	"rhubarbstall.example/platform"
)

// PutOutcome is the outcome of one attempt to store a job.
type PutOutcome int

// The outcomes of an attempt to store a job.
const (
	// PutStored means that the store has the job.
	PutStored PutOutcome = iota
	// PutNotStored means that this attempt has not stored the job and will not do so later.
	PutNotStored
	// PutUnknown means that this attempt may have stored the job or may do so later.
	PutUnknown
	// PutCancelled means that the job was cancelled before and will not be stored.
	PutCancelled
)

// PutJob makes one attempt to store an accepted job. It returns PutStored as well if the store
// already has the job: it was submitted before, or an earlier attempt took effect.
func PutJob(ctx context.Context, store *platform.Store, sub Submission) (PutOutcome, error) {
	_, err := store.Commit(ctx, platform.Txn{
		Expected: []platform.Condition{{Key: JobKey(sub.ID)}},
		Write:    []platform.Write{{Key: JobKey(sub.ID), Value: sub.Value}},
	})
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict) && conflictsWithTombstone(conflict, sub.ID):
		return PutCancelled, ErrCancelledBefore
	case err == nil, conflict != nil:
		return PutStored, nil
	case platform.StatusOf(err) == http.StatusTooManyRequests, platform.StatusOf(err) == http.StatusServiceUnavailable,
		errors.Is(err, platform.ErrNotSent):
		return PutNotStored, err
	}
	return PutUnknown, err
}
