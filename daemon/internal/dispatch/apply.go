package dispatch

import (
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/sched/model"
	wire "rhubarbstall.example/wire/worker"
)

// applySync handles the reply to a sync. The attempts in knownRunning ran before the
// sync was sent, and those in uncertainStarts had a start without a reply. The epoch
// of the sync is higher than that of these starts, so an uncertain start that the
// worker does not report will never take effect.
func (d *Dispatcher) applySync(now time.Time, l *link, resp *wire.SyncResponse, knownRunning map[*attempt]bool, uncertainStarts []*attempt) {
	if l.instance != "" && l.instance != resp.Instance {
		d.cfg.Logger.Info("[dispatch] worker restarted and lost its tasks", zap.String("worker", l.id), zap.Int("attempts", len(l.attempts)))
		restarted := make(map[*attempt]bool)
		for a := range knownRunning {
			restarted[a] = true
		}
		for _, a := range uncertainStarts {
			restarted[a] = true
		}
		d.recordAllLost(now, l, restarted)
		clear(l.pendingAcks)
		clear(l.discovered)
		// Either instance may have confirmed a start while the sync was in flight, so the
		// next sync requests the full state.
		l.instance, l.info = resp.Instance, resp.Info
		resp.Sequence = 0
		l.syncNow()
		if !resp.Full {
			l.sequence = 0
			return
		}
	}
	l.instance, l.sequence, l.info = resp.Instance, resp.Sequence, resp.Info
	reported := make(map[model.TaskRef]bool, len(resp.Running))
	var usage []model.Usage
	for i := range resp.Running {
		r := &resp.Running[i]
		ref := toRef(r.Ref)
		reported[ref] = true
		d.handleRunning(now, l, ref, r)
		usage = append(usage, model.Usage{Ref: ref, Used: toResources(r.Used)})
	}
	for i := range resp.Outcomes {
		o := &resp.Outcomes[i]
		reported[toRef(o.Ref)] = true
		d.handleOutcome(now, l, o)
	}
	if len(usage) > 0 && d.recovered {
		d.engine.ReportUsage(now, l.id, usage)
	}
	if deferred := l.deferredOutcomes; d.recovered && len(deferred) > 0 {
		l.deferredOutcomes = nil
		for i := range deferred {
			d.processOutcome(now, l, &deferred[i])
		}
	}
	if !resp.Full {
		return
	}
	for _, a := range uncertainStarts {
		if !reported[a.Ref] && l.attempts[a.Ref] == a && a.phase == uncertain {
			d.recordNotStarted(now, l, a)
		}
	}
	for a := range knownRunning {
		if !reported[a.Ref] && l.attempts[a.Ref] == a {
			d.recordLost(now, l, a)
		}
	}
	for ref := range l.discovered {
		if !reported[ref] {
			delete(l.discovered, ref)
		}
	}
}

// handleRunning handles an attempt that runs on a worker.
func (d *Dispatcher) handleRunning(now time.Time, l *link, ref model.TaskRef, r *wire.RunningTask) {
	if a, ok := l.attempts[ref]; ok {
		if a.phase == uncertain {
			d.confirmStart(now, a)
		}
		return
	}
	age := time.Duration(r.AgeMillis) * time.Millisecond
	if !d.recovered {
		l.discovered[ref] = discoveredAttempt{ref: ref, size: toResources(r.Requested), age: age, seenAt: now}
		return
	}
	d.adopt(now, l, ref, toResources(r.Requested), age)
}

// adopt takes over a running attempt, or stops it if the task needs no attempt.
func (d *Dispatcher) adopt(now time.Time, l *link, ref model.TaskRef, size model.Resources, age time.Duration) {
	p := model.Placement{Ref: ref, Worker: l.id, Size: size}
	a := &attempt{Placement: p, phase: running}
	if _, busy := d.attemptByTask[taskOf(ref)]; !busy && d.engine.Adopt(now, p, age) {
		d.track(l, a)
		return
	}
	a.requestedAction, a.actionPending = wire.ActionStop, true
	l.attempts[ref] = a
	d.metrics.orphan()
	d.cfg.Logger.Info("[dispatch] stopping a task that no job needs", zap.String("worker", l.id), zap.String("job", ref.Job), zap.Int("index", ref.Index))
}

// handleOutcome handles an outcome that a worker reported, unless it is a repeated report.
func (d *Dispatcher) handleOutcome(now time.Time, l *link, o *wire.Outcome) {
	ref := toRef(o.Ref)
	if l.unstoredOutcomes[ref] || l.pendingAcks[ref] {
		return
	}
	l.unstoredOutcomes[ref] = true
	if !d.recovered {
		delete(l.discovered, ref)
		if _, ok := l.attempts[ref]; !ok {
			l.deferredOutcomes = append(l.deferredOutcomes, *o)
			return
		}
	}
	d.processOutcome(now, l, o)
}

// processOutcome passes an outcome to the engine and to the job store.
func (d *Dispatcher) processOutcome(now time.Time, l *link, o *wire.Outcome) {
	ref := toRef(o.Ref)
	verdict := model.VerdictIgnored
	if a, ok := l.attempts[ref]; ok {
		tracked := d.isTracked(a)
		d.untrack(l, a)
		if tracked {
			verdict = d.engine.Finished(now, toOutcome(l.id, o))
		}
	} else if other, busy := d.attemptByTask[taskOf(ref)]; busy && other.phase != queued {
		// Another attempt of the task is in progress. Keep the outcome until that attempt
		// has ended, because no attempt of a task may start after a success of the task
		// was acknowledged.
		l.deferredOutcomes = append(l.deferredOutcomes, *o)
		return
	} else {
		// The attempt ended before this zone scheduler learned of it.
		if busy {
			d.recordNotStarted(now, d.links[other.Worker], other)
		}
		if d.engine.Adopt(now, model.Placement{Ref: ref, Worker: l.id}, 0) {
			verdict = d.engine.Finished(now, toOutcome(l.id, o))
		}
	}
	d.metrics.outcome(string(o.Result))
	if verdict == model.VerdictIgnored {
		d.cfg.Logger.Debug("[dispatch] ignored the outcome of an unneeded attempt", zap.String("worker", l.id),
			zap.String("job", ref.Job), zap.Int("index", ref.Index), zap.Int("attempt", ref.Attempt), zap.String("result", string(o.Result)))
	}
	d.cfg.Store.RecordOutcome(ref, verdict, o, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(l.unstoredOutcomes, ref)
		l.pendingAcks[ref] = true
	})
	d.RequestRound()
}
