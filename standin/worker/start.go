package worker

import (
	"time"

	"rhubarbstall.example/standin/history"
	wire "rhubarbstall.example/wire/worker"
)

// Start starts a batch of tasks. It returns a refusal for each task that it cannot start,
// or one for the batch if the sender does not hold the owner lease.
func (w *Worker) Start(req wire.StartRequest) (wire.StartResponse, *wire.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Now()
	w.advance(now)
	if r := w.owner.check(req.Owner, now); r != nil {
		for _, spec := range req.Tasks {
			w.recordRefusal(spec, r.Code, now)
		}
		return wire.StartResponse{}, r
	}
	resp := wire.StartResponse{Results: make([]wire.StartResult, 0, len(req.Tasks))}
	for _, spec := range req.Tasks {
		code := w.startOne(spec, now)
		if code != "" {
			w.recordRefusal(spec, code, now)
		}
		resp.Results = append(resp.Results, wire.StartResult{Ref: spec.Ref, Refusal: code})
	}
	w.killOverMemory(now)
	return resp, nil
}

// startOne starts a task, or returns the reason of the refusal.
func (w *Worker) startOne(spec wire.TaskSpec, now time.Time) wire.RefusalCode {
	key := taskKey{spec.Ref.Job, spec.Ref.Index}
	switch {
	case w.leaving:
		return wire.RefusedLeaving
	case w.tasks[key] != nil || spec.Ref.Attempt <= w.attempts[key]:
		return wire.RefusedStaleAttempt
	case !fits(addSize(w.claimed, spec.Size, 1), w.o.Capacity):
		return wire.RefusedNoCapacity
	}
	t := newTask(spec, now, w.taskLease)
	if w.failingAll {
		t.behavior.Fail = true
		t.endsAt = now.Add(failingRunTime)
	}
	w.tasks[key] = t
	w.attempts[key] = spec.Ref.Attempt
	w.claimed = addSize(w.claimed, spec.Size, 1)
	w.markChanged(t)
	ref, size := spec.Ref, spec.Size
	w.write(history.Event{At: now, Type: history.TaskStarted, Ref: &ref, Size: &size, Kind: spec.Kind})
	return ""
}

// recordRefusal records a refused task with the capacity that is already claimed.
func (w *Worker) recordRefusal(spec wire.TaskSpec, code wire.RefusalCode, now time.Time) {
	t := history.TaskRefused
	if code == wire.RefusedNoCapacity {
		t = history.OverfillAttempted
	}
	ref, size, claimed := spec.Ref, spec.Size, w.claimed
	w.write(history.Event{At: now, Type: t, Ref: &ref, Size: &size, Capacity: &claimed, Reason: string(code)})
}

// Control executes a batch of actions. It skips actions on attempts that do not run, and
// stops a task without checkpointing if it is told to checkpoint it. It returns a refusal if
// the sender does not hold the owner lease.
func (w *Worker) Control(req wire.ControlRequest) *wire.Refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Now()
	w.advance(now)
	if r := w.owner.check(req.Owner, now); r != nil {
		return r
	}
	for _, c := range req.Actions {
		t := w.tasks[taskKey{c.Ref.Job, c.Ref.Index}]
		if t == nil || t.spec.Ref.Attempt != c.Ref.Attempt {
			continue
		}
		switch {
		case c.Action == wire.ActionCheckpoint && t.spec.Checkpointing:
			w.finish(t, now, wire.ResultCheckpointed, "")
		case c.Action == wire.ActionStop || c.Action == wire.ActionCheckpoint:
			w.finish(t, now, wire.ResultStopped, "")
		case t.throttle(c.Action == wire.ActionThrottle, now):
			w.markChanged(t)
		}
	}
	return nil
}
