package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/sched/model"
	wire "rhubarbstall.example/wire/worker"
)

// ReadyToRecover reports whether each worker of the roster either reported its full
// state in this term, or has no leases that can still be valid.
func (d *Dispatcher) ReadyToRecover() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.recovered {
		return true
	}
	for _, id := range d.cfg.Leadership.Workers() {
		l, ok := d.links[id]
		if !ok || !l.fullStateKnown && !l.leasesExpired {
			return false
		}
	}
	return true
}

// Recover adds the unfinished jobs of earlier terms to the engine and takes over the
// attempts that workers reported. It is called once, after ReadyToRecover returns
// true. The argument of loadJobs reports whether any worker reported an attempt of
// the task. Recover returns the errors of the jobs that the engine refused, by job ID.
func (d *Dispatcher) Recover(loadJobs func(found func(job string, index int) bool) []model.Job) map[string]error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	silent := false
	seen := make(map[task]bool)
	for _, l := range d.links {
		silent = silent || !l.fullStateKnown
		for ref := range l.discovered {
			seen[taskOf(ref)] = true
		}
		for i := range l.deferredOutcomes {
			seen[taskOf(toRef(l.deferredOutcomes[i].Ref))] = true
		}
	}
	jobs := loadJobs(func(job string, index int) bool { return seen[task{job, index}] })
	refused := make(map[string]error)
	for _, j := range jobs {
		if err := d.engine.AddJob(now, j); err != nil {
			refused[j.ID] = err
		}
	}
	d.recovered = true
	adopted := 0
	for _, l := range d.links {
		discovered, deferred := l.discovered, l.deferredOutcomes
		l.discovered, l.deferredOutcomes = make(map[model.TaskRef]discoveredAttempt), nil
		d.updateEngineWorker(now, l)
		for _, f := range discovered {
			d.adopt(now, l, f.ref, f.size, f.age+now.Sub(f.seenAt))
			adopted++
		}
		for i := range deferred {
			d.processOutcome(now, l, &deferred[i])
		}
		// Attempts that no job needs occupy capacity until they are stopped.
		d.updateEngineWorker(now, l)
		d.sendActions(l)
	}
	d.cfg.Logger.Info("[dispatch] recovery is complete", zap.Int("jobs", len(jobs)), zap.Int("found_tasks", adopted), zap.Bool("silent_workers", silent))
	d.RequestRound()
	return refused
}

// AddJob adds a job that was stored in this term.
func (d *Dispatcher) AddJob(j model.Job) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.RequestRound()
	return d.engine.AddJob(time.Now(), j)
}

// StopJob drops the waiting tasks of a job and stops the running ones. The
// cancellation must be stored before the call.
func (d *Dispatcher) StopJob(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopJob(time.Now(), id)
}

func (d *Dispatcher) stopJob(now time.Time, id string) {
	stop := d.engine.CancelJob(now, id)
	d.stopAttempts(stop)
	for _, l := range d.links {
		for ref, f := range l.discovered {
			if ref.Job == id {
				delete(l.discovered, ref)
				l.attempts[ref] = &attempt{
					Placement: model.Placement{Ref: ref, Worker: l.id, Size: f.size},
					phase:     running, requestedAction: wire.ActionStop, actionPending: true,
				}
				d.sendActions(l)
			}
		}
	}
}

// WaitStartsSettled waits until no start of a stopped job can take effect any more.
func (d *Dispatcher) WaitStartsSettled(ctx context.Context, id string) error {
	d.mu.Lock()
	if d.startsInFlight[id] == 0 {
		d.mu.Unlock()
		return nil
	}
	ch := make(chan struct{})
	d.settledWaiters[id] = append(d.settledWaiters[id], ch)
	d.mu.Unlock()
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// RemoveJob removes a finished job from the engine.
func (d *Dispatcher) RemoveJob(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine.RemoveJob(id)
}

// ActiveAttempts returns the number of attempts of a job that are in progress.
func (d *Dispatcher) ActiveAttempts(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.activeAttempts[id]
}

// Explain returns the reason why a job waits, or false if the engine does not know the
// job.
func (d *Dispatcher) Explain(id string) (model.Explanation, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engine.Explain(time.Now(), id)
}

// Recovered reports whether Recover was called.
func (d *Dispatcher) Recovered() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recovered
}

// Queues returns statistics of the waiting tasks.
func (d *Dispatcher) Queues() []model.QueueStat {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engine.Queues(time.Now())
}
