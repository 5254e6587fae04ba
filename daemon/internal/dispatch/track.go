package dispatch

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// track registers an attempt in progress.
func (d *Dispatcher) track(l *link, a *attempt) {
	l.attempts[a.Ref] = a
	d.attemptByTask[taskOf(a.Ref)] = a
	d.activeAttempts[a.Ref.Job]++
	if a.phase == sending || a.phase == uncertain {
		d.startsInFlight[a.Ref.Job]++
	}
}

// isTracked reports whether the engine knows an attempt.
func (d *Dispatcher) isTracked(a *attempt) bool { return d.attemptByTask[taskOf(a.Ref)] == a }

// setPhase changes the phase of a tracked attempt.
func (d *Dispatcher) setPhase(a *attempt, p phase) {
	was := a.phase == sending || a.phase == uncertain
	is := p == sending || p == uncertain
	a.phase = p
	if was && !is {
		d.startSettled(a.Ref.Job)
	} else if is && !was {
		d.startsInFlight[a.Ref.Job]++
	}
}

// startSettled records that the result of one start in flight is known.
func (d *Dispatcher) startSettled(job string) {
	if d.startsInFlight[job]--; d.startsInFlight[job] > 0 {
		return
	}
	delete(d.startsInFlight, job)
	for _, ch := range d.settledWaiters[job] {
		close(ch)
	}
	delete(d.settledWaiters, job)
}

// untrack removes an attempt that has ended.
func (d *Dispatcher) untrack(l *link, a *attempt) {
	if l.attempts[a.Ref] != a {
		return
	}
	delete(l.attempts, a.Ref)
	t := taskOf(a.Ref)
	if d.attemptByTask[t] != a {
		return
	}
	delete(d.attemptByTask, t)
	d.setPhase(a, running)
	if d.activeAttempts[a.Ref.Job]--; d.activeAttempts[a.Ref.Job] <= 0 {
		delete(d.activeAttempts, a.Ref.Job)
	}
}

// confirmStart records that an attempt has started.
func (d *Dispatcher) confirmStart(now time.Time, a *attempt) {
	d.setPhase(a, running)
	d.engine.Started(now, a.Ref)
	if !a.decidedAt.IsZero() {
		d.metrics.waited(a.kind, a.waited+now.Sub(a.decidedAt))
	}
}

// recordNotStarted records that an attempt did not start and never will.
func (d *Dispatcher) recordNotStarted(now time.Time, l *link, a *attempt) {
	d.untrack(l, a)
	d.engine.Refused(now, a.Ref)
	d.RequestRound()
}

// recordLost records that an attempt no longer runs and has no outcome.
func (d *Dispatcher) recordLost(now time.Time, l *link, a *attempt) {
	tracked := d.isTracked(a)
	d.untrack(l, a)
	if !tracked {
		return
	}
	d.metrics.lost()
	d.cfg.Store.RecordOutcome(a.Ref, d.engine.Lost(now, a.Ref), nil, nil)
	d.RequestRound()
}

// recordAllLost ends the attempts of a worker: those in only, or all if only is nil.
// Queued attempts were never sent, so they are recorded as not started.
func (d *Dispatcher) recordAllLost(now time.Time, l *link, only map[*attempt]bool) {
	for _, a := range sortedAttempts(l) {
		switch {
		case only != nil && !only[a]:
		case a.phase == queued:
			d.recordNotStarted(now, l, a)
		default:
			d.recordLost(now, l, a)
		}
	}
	if only == nil {
		clear(l.discovered)
	}
}

// PlacementOf returns the placement of a task's attempt in progress, or false if there
// is none.
func (d *Dispatcher) PlacementOf(job string, index int) (model.Placement, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.attemptByTask[task{job, index}]
	if !ok {
		return model.Placement{}, false
	}
	return a.Placement, true
}
