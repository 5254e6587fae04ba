package baseline

import (
	"time"

	"rhubarbstall.example/sched/ledger"
	"rhubarbstall.example/sched/model"
)

// Decide starts every waiting task that fits, in the order of arrival of the jobs, on
// the first worker with enough free resources. A job that does not fit does not block
// later jobs.
func (e *Engine) Decide(now time.Time, limit int) model.Decisions {
	d := model.Decisions{Starts: e.takeUnsent(now, limit)}
	var unfit unfitSizes
	keep := e.queue[:0]
	for at, queued := range e.queue {
		if len(d.Starts) >= limit {
			keep = append(keep, e.queue[at:]...)
			break
		}
		if queued.job.Cancelled || e.queuedJobs[queued.job.ID] != queued {
			continue
		}
		if queued.job.Waiting == 0 && queued.job.Active == 0 {
			continue
		}
		keep = append(keep, queued)
		if len(queued.waiting) == 0 || unfit.cannotFit(queued.job.Size) {
			continue
		}
		if queued.job.Type == model.Gang {
			e.startGang(now, queued, &d)
		} else if !e.startTasks(now, queued, limit, &d) {
			unfit.add(queued.job.Size)
		}
	}
	clear(e.queue[len(keep):])
	e.queue = keep
	d.Starts = append(d.Starts, e.takeUnsent(now, limit-len(d.Starts))...)
	if e.outbox.Len() > 0 {
		d.WakeAt = now
	}
	return d
}

// takeUnsent returns decided starts that were not returned yet. A start on a worker
// that is no longer available is reverted.
func (e *Engine) takeUnsent(now time.Time, limit int) []model.Start {
	usable := func(r *ledger.Run) bool {
		w := e.workers.byID[r.Worker]
		return w != nil && w.registered && w.State == model.WorkerLive
	}
	return e.outbox.TakeUsable(e.jobs, limit, usable, func(r *ledger.Run) { e.Refused(now, r.Ref()) })
}

// startTasks starts the waiting tasks of a job up to the limit. It returns false if a
// task does not fit on any worker.
func (e *Engine) startTasks(now time.Time, queued *queuedJob, limit int, d *model.Decisions) bool {
	rest := queued.waiting[:0]
	fits := true
	for _, i := range queued.waiting {
		t := &queued.job.TaskStates[i]
		if t.Phase != ledger.Waiting {
			continue
		}
		if !fits || len(d.Starts) >= limit || e.inBackoff(now, t, d) {
			rest = append(rest, i)
			continue
		}
		w := e.firstFit(queued.job.Size)
		if w == nil {
			fits = false
			rest = append(rest, i)
			continue
		}
		d.Starts = append(d.Starts, e.start(now, queued.job, i, w))
	}
	queued.waiting = rest
	return fits
}

// inBackoff reports whether the delay before the next attempt of a task has not
// passed yet. In that case WakeAt is set no later than its end.
func (e *Engine) inBackoff(now time.Time, t *ledger.Task, d *model.Decisions) bool {
	ready := time.Unix(0, t.ReadyNanos)
	if !ready.After(now) {
		return false
	}
	if d.WakeAt.IsZero() || ready.Before(d.WakeAt) {
		d.WakeAt = ready
	}
	return true
}

// startGang starts either all waiting tasks of a gang or none. The starts go through
// the outbox: those beyond the limit of this round keep their resources reserved and
// are returned in later rounds.
func (e *Engine) startGang(now time.Time, queued *queuedJob, d *model.Decisions) {
	var waitingTasks []int32
	for _, i := range queued.waiting {
		t := &queued.job.TaskStates[i]
		if t.Phase != ledger.Waiting {
			continue
		}
		if e.inBackoff(now, t, d) {
			return
		}
		waitingTasks = append(waitingTasks, i)
	}
	var chosen []*worker
	for range waitingTasks {
		w := e.firstFit(queued.job.Size)
		if w == nil {
			break
		}
		w.add(queued.job.Size)
		chosen = append(chosen, w)
	}
	for _, w := range chosen {
		w.release(queued.job.Size)
	}
	if len(chosen) < len(waitingTasks) {
		return
	}
	for k, i := range waitingTasks {
		start := e.start(now, queued.job, i, chosen[k])
		e.outbox.Put(queued.job.TaskStates[i].Run, start)
	}
	queued.waiting = queued.waiting[:0]
}

// firstFit returns the first worker that can hold the size, nil if there is none.
func (e *Engine) firstFit(size model.Resources) *worker {
	for _, w := range e.workers.list {
		if w.canHold(size) {
			return w
		}
	}
	return nil
}

func (e *Engine) start(now time.Time, j *ledger.Job, index int32, w *worker) model.Start {
	t := &j.TaskStates[index]
	waited := now.Sub(time.Unix(0, t.ReadyNanos))
	run := e.jobs.StartRun(now, j, int(index), w.ID, j.Size)
	w.add(j.Size)
	return model.Start{
		Placement:  run.Placement(),
		Kind:       j.Kind,
		Department: j.Department,
		RunTime:    j.RunTime,
		Checkpoint: t.Checkpoint,
		Waited:     waited,
	}
}
