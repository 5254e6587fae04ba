package jobs

import (
	"encoding/json"
	"time"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/daemon/internal/dispatch"
	"rhubarbstall.example/sched/model"
	wire "rhubarbstall.example/wire/worker"
)

// maxWaitersPerSegment bounds the number of changes that wait for a write of one segment.
const maxWaitersPerSegment = 32_768

// submit adds a new job and calls done after the write. If a job with the same ID is
// already stored, submit returns its record and does not call done.
func (js *jobStore) submit(id string, spec Spec, done func(r *record, err error)) (*record, error) {
	r := &record{ID: id, Spec: spec, Submitted: time.Now().UTC().Truncate(time.Millisecond)}
	r.Spec.AvailabilityZone = ""
	data, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	if len(data) > MaxRecordBytes {
		return nil, codes.JobTooLarge.Errorf("the stored job has %d bytes; the limit is %d", len(data), MaxRecordBytes)
	}
	js.mu.Lock()
	defer js.mu.Unlock()
	if js.closed {
		return nil, errLeadershipLost
	}
	if known, ok := js.records[id]; ok {
		if !known.Spec.sameWork(&spec) {
			return nil, codes.KeyReused.Errorf("the idempotency key was already used for job %s, which has a different spec", id)
		}
		if known.persisted {
			return known, nil
		}
		js.addWaiter(known.segment, waiter{
			done: func(err error) { done(known, err) },
			undo: func() bool { return !known.maybePersisted },
		})
		return nil, nil
	}
	s := js.addRecord(r, len(data))
	if len(s.waiters) >= maxWaitersPerSegment {
		js.removeRecord(r)
		return nil, codes.QueueFull.With("too many changes are waiting to be written to the platform", codes.RetryAfter(time.Second))
	}
	js.addWaiter(s, waiter{
		done: func(err error) { done(r, err) },
		undo: func() bool {
			if r.maybePersisted {
				return false
			}
			if js.records[r.ID] == r {
				js.removeRecord(r)
			}
			return true
		},
	})
	return nil, nil
}

// markStored marks a record as stored. It reports whether the engine must run the
// job: false if the record was already marked, or the job is cancelled or finished.
func (js *jobStore) markStored(r *record) (model.Job, bool) {
	js.mu.Lock()
	defer js.mu.Unlock()
	if r.persisted {
		return model.Job{}, false
	}
	r.persisted = true
	return r.model(1), !r.cancelStored && r.endedCount() < r.Spec.Tasks
}

// cancel marks a job as cancelled and calls done after the write. It returns false
// and does not call done if the job is already cancelled or finished.
func (js *jobStore) cancel(id string, done func(error)) (bool, error) {
	js.mu.Lock()
	defer js.mu.Unlock()
	r, ok := js.records[id]
	switch {
	case js.closed:
		return false, errLeadershipLost
	case !ok || !r.persisted:
		return false, codes.NotFound.Errorf("no job %s", id)
	case r.Cancelled && r.cancelStored, !r.Cancelled && r.endedCount() >= r.Spec.Tasks:
		return false, nil
	case len(r.segment.waiters) >= maxWaitersPerSegment:
		return false, codes.QueueFull.With("too many changes are waiting to be written to the platform", codes.RetryAfter(time.Second))
	}
	r.Cancelled = true
	js.addWaiter(r.segment, waiter{
		done: func(err error) {
			if err == nil {
				js.mu.Lock()
				r.cancelStored = true
				js.mu.Unlock()
			}
			done(err)
		},
		undo: func() bool {
			if r.maybePersisted || r.cancelStored {
				return false
			}
			r.Cancelled = false
			return true
		},
	})
	return true, nil
}

// StartSpec implements dispatch.JobStore.
func (js *jobStore) StartSpec(ref model.TaskRef) (wire.TaskSpec, dispatch.TaskStatus) {
	js.mu.Lock()
	defer js.mu.Unlock()
	r, ok := js.records[ref.Job]
	switch {
	case !ok || !r.persisted || r.cancelStored:
		return wire.TaskSpec{}, dispatch.TaskCancelled
	case r.ended(ref.Index):
		return wire.TaskSpec{}, dispatch.TaskEnded
	}
	r.parked = false
	return r.wireSpec(ref.Index), dispatch.TaskOpen
}

// RecordStartIntent implements dispatch.JobStore. Only jobs that must not be
// repeated need an intent: without it, the next zone scheduler cannot distinguish
// a task that never started from one that its worker lost.
func (js *jobStore) RecordStartIntent(ref model.TaskRef, stored func()) bool {
	js.mu.Lock()
	defer js.mu.Unlock()
	r, ok := js.records[ref.Job]
	if !ok || !r.Spec.NoRepeat || r.storedIntents.has(ref.Index) {
		return true
	}
	r.Intended.add(ref.Index)
	js.addWaiter(r.segment, waiter{done: func(err error) {
		if err == nil {
			stored()
		}
	}})
	return false
}

// RecordOutcome implements dispatch.JobStore.
func (js *jobStore) RecordOutcome(ref model.TaskRef, verdict model.Verdict, o *wire.Outcome, stored func()) {
	js.mu.Lock()
	defer js.mu.Unlock()
	r, ok := js.records[ref.Job]
	if !ok {
		if stored != nil {
			go stored()
		}
		return
	}
	changed := false
	switch verdict {
	case model.VerdictSucceeded:
		changed = r.Succeeded.add(ref.Index)
	case model.VerdictFailed:
		changed = r.Failed.add(ref.Index)
	case model.VerdictUnknown:
		changed = r.Unknown.add(ref.Index)
	case model.VerdictRetry, model.VerdictParked:
		r.parked = r.parked || verdict == model.VerdictParked
		r.attemptFailed = true
		if o != nil {
			changed = r.keepCheckpoint(ref.Index, o.Checkpoint)
		}
	}
	if verdict != model.VerdictRetry && verdict != model.VerdictParked {
		delete(r.Checkpoints, ref.Index)
		delete(r.unstoredCheckpoints, ref.Index)
	}
	if o != nil && o.Message != "" && verdict != model.VerdictSucceeded {
		r.Message = truncate(o.Message, maxMessageBytes)
	}
	if changed {
		js.markDirty(r.segment)
	}
	if stored == nil {
		return
	}
	if !changed && !r.segment.dirty && !r.segment.writing {
		// A retry follows, or the outcome is already stored.
		go stored()
		return
	}
	// The outcome is stored with the next write but does not make that write urgent.
	js.markDirty(r.segment)
	r.segment.waiters = append(r.segment.waiters, waiter{done: func(err error) {
		if err == nil {
			stored()
		}
	}})
}

// maxMessageBytes bounds the stored message of a job.
const maxMessageBytes = 256

func truncate(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return s[:n]
}
