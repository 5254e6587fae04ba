package cellsched

import (
	"bytes"
	"context"
	"errors"
	"time"

	"rhubarbstall.example/platform"
)

// A client that got no confirmation of its submission may cancel the job. The store may still carry out
// a write of the job, seconds later. A tombstone in place of the job's record makes that write fail, since
// it requires that there is no record, so the acknowledged cancellation holds.

// tombstoneValue is the value of a tombstone. It has the form of a job's record without a body.
var tombstoneValue = []byte(`{"cancelled":true}` + "\n")

// IsTombstone reports whether the record of a job is a tombstone: the job was cancelled before it was
// stored, and never will be.
func IsTombstone(value []byte) bool { return bytes.Equal(value, tombstoneValue) }

// ErrCancelledBefore means that a job was cancelled before it was submitted.
var ErrCancelledBefore = errors.New("the job was cancelled before it was stored")

// PutTombstone makes one attempt to store a tombstone for a job that has no record. It returns true if
// the job is not stored and never will be, and false without an error if the store has the job.
func PutTombstone(ctx context.Context, store *platform.Store, id string) (bool, error) {
	_, err := store.Commit(ctx, platform.Txn{
		Expected: []platform.Condition{{Key: JobKey(id)}},
		Write:    []platform.Write{{Key: JobKey(id), Value: tombstoneValue}},
	})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return conflictsWithTombstone(conflict, id), nil
	}
	return err == nil, err
}

// conflictsWithTombstone reports whether the record that a write of a job conflicts with is a tombstone.
func conflictsWithTombstone(conflict *platform.ConflictError, id string) bool {
	for _, item := range conflict.Current {
		if item.Key == JobKey(id) {
			return IsTombstone(item.Value)
		}
	}
	return false
}

// tombstones holds when each tombstone in the store was first seen. Scheduler.mu guards it.
type tombstones map[string]time.Time

// add records a tombstone.
func (t tombstones) add(now time.Time, id string) {
	if _, ok := t[id]; !ok {
		t[id] = now
	}
}

// seenBefore returns at most limit tombstones that were first seen before a time.
func (t tombstones) seenBefore(before time.Time, limit int) []string {
	var ids []string
	for id, at := range t {
		if len(ids) == limit {
			break
		}
		if at.Before(before) {
			ids = append(ids, id)
		}
	}
	return ids
}
