package jobs

import (
	"time"

	"rhubarbstall.example/sched/model"
	wire "rhubarbstall.example/wire/worker"
)

const (
	// maxCheckpointBytes bounds a stored checkpoint, and maxCheckpointsBytes all stored
	// checkpoints of a job. Larger checkpoints are kept in memory only, until the term
	// ends.
	maxCheckpointBytes  = 1 << 10
	maxCheckpointsBytes = 16 << 10
)

// record is the stored form of a job. Its fields are guarded by jobStore.mu.
type record struct {
	ID        string    `json:"id"`
	Spec      Spec      `json:"spec"`
	Submitted time.Time `json:"submitted"`
	Cancelled bool      `json:"cancelled,omitempty"`
	// Finished is the time at which the last task ended.
	Finished time.Time `json:"finished,omitzero"`
	Message  string    `json:"message,omitempty"`

	Succeeded indexSet `json:"succeeded,omitzero"`
	Failed    indexSet `json:"failed,omitzero"`
	Unknown   indexSet `json:"unknown,omitzero"`
	// Intended is the write-ahead set of tasks that must not be repeated and may have
	// started.
	Intended indexSet `json:"intended,omitzero"`
	// Checkpoints maps task indexes to small checkpoints.
	Checkpoints map[int][]byte `json:"checkpoints,omitempty"`

	segment *segment
	// parked means that the engine parked the job, and attemptFailed that an attempt of the
	// job failed in this term.
	parked        bool
	attemptFailed bool
	// persisted means that the record is known to be stored; until then, calls do not
	// find the job. It is also unset for a job that reload found, until the job is passed
	// to the engine. maybePersisted means that a write of the record got no reply and may
	// have taken effect.
	persisted      bool
	maybePersisted bool
	// loaded means that the record was read at the start of the term.
	loaded bool
	// cancelStored means that the cancellation is stored.
	cancelStored bool
	// storedIntents is the stored part of Intended.
	storedIntents indexSet
	// unstoredCheckpoints maps task indexes to checkpoints that are too large to store.
	unstoredCheckpoints map[int][]byte
}

// ended reports whether a task has ended.
func (r *record) ended(i int) bool {
	return r.Succeeded.has(i) || r.Failed.has(i) || r.Unknown.has(i)
}

// endedCount returns the number of tasks that have ended.
func (r *record) endedCount() int { return r.Succeeded.n + r.Failed.n + r.Unknown.n }

// keepCheckpoint saves the checkpoint of a task. It reports whether the stored form
// of the record changed.
func (r *record) keepCheckpoint(index int, data []byte) bool {
	if len(data) == 0 {
		return false
	}
	sum := len(data)
	for i, c := range r.Checkpoints {
		if i != index {
			sum += len(c)
		}
	}
	if len(data) <= maxCheckpointBytes && sum <= maxCheckpointsBytes {
		if r.Checkpoints == nil {
			r.Checkpoints = make(map[int][]byte)
		}
		r.Checkpoints[index] = data
		delete(r.unstoredCheckpoints, index)
		return true
	}
	_, changed := r.Checkpoints[index]
	delete(r.Checkpoints, index)
	if r.unstoredCheckpoints == nil {
		r.unstoredCheckpoints = make(map[int][]byte)
	}
	r.unstoredCheckpoints[index] = data
	return changed
}

// checkpoint returns the latest checkpoint of a task, or nil.
func (r *record) checkpoint(index int) []byte {
	if c, ok := r.unstoredCheckpoints[index]; ok {
		return c
	}
	return r.Checkpoints[index]
}

// model converts the record for the engine. First is the first attempt number to use.
func (r *record) model(first int) model.Job {
	j := model.Job{
		ID: r.ID, Department: r.Spec.Department, Kind: r.Spec.Kind, Type: r.Spec.Type, Tasks: r.Spec.Tasks,
		Size:    model.Resources(r.Spec.Size),
		RunTime: time.Duration(r.Spec.RunMillis) * time.Millisecond, Checkpointing: r.Spec.Checkpointing,
		NoRepeat: r.Spec.NoRepeat, Submitted: r.Submitted,
		Done: make(map[int]bool, r.endedCount()), NextAttempt: make(map[int]int),
	}
	for _, set := range []*indexSet{&r.Succeeded, &r.Failed, &r.Unknown} {
		for i := range set.all() {
			j.Done[i] = true
		}
	}
	if first > 1 {
		for i := range j.Tasks {
			if !j.Done[i] {
				j.NextAttempt[i] = first
			}
		}
	}
	return j
}

// wireSpec returns the task spec that is sent to a worker.
func (r *record) wireSpec(index int) wire.TaskSpec {
	return wire.TaskSpec{
		Kind: r.Spec.Kind, RunMillis: r.Spec.RunMillis, Checkpointing: r.Spec.Checkpointing,
		Checkpoint: r.checkpoint(index), Payload: r.Spec.Payload,
	}
}

// merge adds the outcomes, intents and cancellation of another copy of the record.
// It never removes an outcome or the cancellation. It reports whether r changed.
func (r *record) merge(o *record) bool {
	changed := r.Succeeded.union(&o.Succeeded)
	changed = r.Failed.union(&o.Failed) || changed
	changed = r.Unknown.union(&o.Unknown) || changed
	changed = r.Intended.union(&o.Intended) || changed
	if o.Cancelled && !r.Cancelled {
		r.Cancelled, r.cancelStored, changed = true, true, true
	}
	return changed
}

// view converts the record for the API. Active is the number of attempts in progress.
func (r *record) view(active int) Job {
	c := Counts{Running: active, Succeeded: r.Succeeded.n, Failed: r.Failed.n, Unknown: r.Unknown.n}
	rest := max(0, r.Spec.Tasks-r.endedCount()-active)
	if r.cancelStored {
		c.Cancelled = rest
	} else {
		c.Pending = rest
	}
	return Job{
		ID: r.ID, Kind: r.Spec.Kind, Department: r.Spec.Department, Type: r.Spec.Type, State: r.state(active, c),
		Tasks: r.Spec.Tasks, AvailabilityZone: zoneOf(r.ID), SubmittedAt: r.Submitted, Counts: c, Message: r.Message,
	}
}

func (r *record) state(active int, c Counts) State {
	switch {
	case r.cancelStored:
		return Cancelled
	case active > 0:
		return Running
	case c.Pending > 0 && r.parked:
		return Parked
	case c.Pending > 0:
		return Pending
	case c.Unknown > 0:
		return Unknown
	case c.Failed > 0:
		return Failed
	}
	return Succeeded
}
