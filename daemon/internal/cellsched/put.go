package cellsched

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
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
	// PutOtherAccount means that the id is that of a job of another client account. This job was not stored and will
	// not be.
	PutOtherAccount
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
	case conflict != nil:
		return conflictOutcome(conflict, sub)
	case err == nil:
		return PutStored, nil
	case platform.StatusOf(err) == http.StatusTooManyRequests, platform.StatusOf(err) == http.StatusServiceUnavailable,
		errors.Is(err, platform.ErrNotSent):
		return PutNotStored, err
	}
	return PutUnknown, err
}

// ErrOtherAccount means that a job with the same id belongs to another client account.
var ErrOtherAccount = errors.New("a job of another client account has this id")

// conflictOutcome returns the outcome of a submission whose job is stored already, perhaps by another client account.
func conflictOutcome(conflict *platform.ConflictError, sub Submission) (PutOutcome, error) {
	submitted, err := OwnerOf(sub.ID, sub.Value)
	if err != nil {
		return PutNotStored, err
	}
	i := slices.IndexFunc(conflict.Current, func(item platform.Item) bool { return item.Key == JobKey(sub.ID) })
	if i < 0 {
		return unreadableConflict(submitted, ErrOwnerUnknown)
	}
	stored, err := OwnerOf(sub.ID, conflict.Current[i].Value)
	switch {
	case err != nil:
		return unreadableConflict(submitted, err)
	case !cell.MayAccess(submitted, stored):
		return PutOtherAccount, ErrOtherAccount
	}
	return PutStored, nil
}

// ErrOwnerUnknown means that the store has a job with the same id and did not return its record.
var ErrOwnerUnknown = errors.New("the store did not return the record of the job that has this id")

// unreadableConflict returns the outcome if the stored job's account cannot be read. Without client accounts the job is
// the submitted one. With them it is unknown whose it is, so the client must not be told that its job was accepted.
func unreadableConflict(submitted string, cause error) (PutOutcome, error) {
	if submitted == "" {
		return PutStored, nil
	}
	return PutUnknown, cause
}
