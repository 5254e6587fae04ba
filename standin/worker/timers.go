package worker

import (
	"cmp"
	"time"

	"rhubarbstall.example/standin/history"
	wire "rhubarbstall.example/wire/worker"
)

// timerEvent is an event that a timer of a task triggers.
type timerEvent int

const (
	timerEnd timerEvent = iota
	timerLeaseLapse
	timerUsageReport
)

// advance processes the timer events that are due at now, in order of time.
func (w *Worker) advance(now time.Time) {
	for {
		t, at, event := w.nextTimer()
		if t == nil || at.After(now) {
			return
		}
		switch event {
		case timerUsageReport:
			t.usageVisible = true
			w.markChanged(t)
		case timerLeaseLapse:
			w.finish(t, at, wire.ResultLeaseLapsed, "task lease lapsed")
		case timerEnd:
			if t.behavior.Fail {
				w.finish(t, at, wire.ResultFailed, "task failed")
			} else {
				w.finish(t, at, wire.ResultSucceeded, "")
			}
		}
	}
}

// nextTimer returns the task with the earliest timer event. Events at the same time are
// ordered by task, so that the order does not depend on map iteration.
func (w *Worker) nextTimer() (*task, time.Time, timerEvent) {
	var first *task
	var at time.Time
	var event timerEvent
	for _, t := range w.tasks {
		due, e := t.nextTimer(w.o.UsageLag)
		if first == nil || due.Before(at) || due.Equal(at) && taskLess(t, first) {
			first, at, event = t, due, e
		}
	}
	return first, at, event
}

// nextTimer returns the earliest timer event of a task.
func (t *task) nextTimer(lag time.Duration) (time.Time, timerEvent) {
	at, e := t.leaseExpires, timerLeaseLapse
	if !t.endsAt.IsZero() && !t.endsAt.After(at) {
		at, e = t.endsAt, timerEnd
	}
	if report := t.started.Add(lag); !t.usageVisible && report.Before(at) {
		at, e = report, timerUsageReport
	}
	return at, e
}

func taskLess(a, b *task) bool {
	return cmp.Or(cmp.Compare(a.spec.Ref.Job, b.spec.Ref.Job), cmp.Compare(a.spec.Ref.Index, b.spec.Ref.Index)) < 0
}

// markChanged gives a task a new sequence number so that the next delta contains it.
func (w *Worker) markChanged(t *task) {
	w.sequence++
	t.sequence = w.sequence
}

// finish removes a task and keeps its outcome until it is acknowledged.
func (w *Worker) finish(t *task, at time.Time, result wire.Result, message string) {
	ref := t.spec.Ref
	delete(w.tasks, taskKey{ref.Job, ref.Index})
	w.claimed = addSize(w.claimed, t.spec.Size, -1)
	w.sequence++
	o := &outcome{sequence: w.sequence, Outcome: wire.Outcome{
		Ref: ref, Result: result, Message: message, PeakUsed: t.usage(), RunMillis: at.Sub(t.started).Milliseconds(),
	}}
	if result == wire.ResultCheckpointed || result == wire.ResultLeaseLapsed {
		o.Checkpoint = t.checkpoint(at)
	}
	w.outcomes = append(w.outcomes, o)
	size := t.spec.Size
	w.write(history.Event{At: at, Type: history.TaskEnded, Ref: &ref, Size: &size, Result: string(result)})
}

// killOverMemory ends tasks until the memory in use fits the capacity. It starts with the
// task that exceeds its declared memory the most.
func (w *Worker) killOverMemory(now time.Time) {
	for {
		var used, maxExcess int64
		var victim *task
		for _, t := range w.tasks {
			used += t.behavior.ActualMemoryMB
			excess := t.behavior.ActualMemoryMB - t.spec.Size.MemoryMB
			if excess > 0 && (excess > maxExcess || excess == maxExcess && taskLess(t, victim)) {
				maxExcess, victim = excess, t
			}
		}
		if used <= w.o.Capacity.MemoryMB || victim == nil {
			return
		}
		w.finish(victim, now, wire.ResultOutOfMemory, "worker out of memory: task used more than it declared")
	}
}
