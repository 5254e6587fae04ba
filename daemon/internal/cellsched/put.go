package cellsched

import (
	"context"
	"errors"
	"net/http"

	"rhubarbstall.example/platform"
)

// PutOutcome is what is known of an attempt to store a job.
type PutOutcome int

// The outcomes of an attempt to store a job.
const (
	// PutDone means that the store has the job.
	PutDone PutOutcome = iota
	// PutNot means that this attempt did not and will not store it.
	PutNot
	// PutOpen means that the attempt may have stored it or may do so later.
	PutOpen
)

// Put makes one attempt to store an accepted job. A job that the store has already
// counts as done: the same job came before, or an earlier attempt took effect.
func Put(ctx context.Context, store *platform.Store, sub Submission) (PutOutcome, error) {
	_, err := store.Commit(ctx, platform.Txn{
		Expected: []platform.Condition{{Key: JobKey(sub.ID)}},
		Write:    []platform.Write{{Key: JobKey(sub.ID), Value: sub.Value}},
	})
	var conflict *platform.ConflictError
	switch {
	case err == nil, errors.As(err, &conflict):
		return PutDone, nil
	case platform.StatusOf(err) == http.StatusTooManyRequests, platform.StatusOf(err) == http.StatusServiceUnavailable,
		errors.Is(err, platform.ErrNotSent):
		return PutNot, err
	}
	return PutOpen, err
}
