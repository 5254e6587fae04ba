package dispatch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/sched/model"
	wire "rhubarbstall.example/wire/worker"
)

// startSender starts a goroutine that sends the queue of a link, if none is running.
func (d *Dispatcher) startSender(l *link) {
	ctx := d.ctx
	if l.senderRunning || len(l.queue) == 0 || d.stopped || ctx == nil {
		return
	}
	l.senderRunning = true
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		for d.sendBatch(ctx, l) {
		}
	}()
}

// sendBatch sends one batch of starts. It returns false if the queue is empty.
func (d *Dispatcher) sendBatch(ctx context.Context, l *link) bool {
	if l.acquire(ctx) {
		defer l.release()
	}
	d.mu.Lock()
	batch, specs := d.dequeueBatch(l)
	if len(batch) == 0 {
		l.senderRunning = false
		d.mu.Unlock()
		return false
	}
	addr := l.addr
	d.mu.Unlock()
	// This is the last check before the call. If this process is paused after it, only
	// the worker's own check of the lease and the epoch prevents a late start.
	owner, ok := d.cfg.Leadership.MaySend(l.id)
	if !ok || ctx.Err() != nil || addr == "" {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.returnBatch(l, batch)
		return true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	ctx, span := d.cfg.Tracer.Start(ctx, "dispatch start")
	defer span.End()
	resp, err := d.cfg.Transport.Start(ctx, addr, &wire.StartRequest{Owner: owner, Tasks: specs})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handleStartReply(l, batch, resp, err)
	return true
}

// dequeueBatch removes the next starts from the queue and marks them as sending.
func (d *Dispatcher) dequeueBatch(l *link) ([]*attempt, []wire.TaskSpec) {
	now := time.Now()
	var batch []*attempt
	var specs []wire.TaskSpec
	var keep []*attempt
	for i, a := range l.queue {
		if len(batch) == maxStartsPerCall {
			keep = append(keep, l.queue[i:]...)
			break
		}
		if l.attempts[a.Ref] != a {
			continue
		}
		if a.requestedAction == wire.ActionStop {
			d.recordNotStarted(now, l, a)
			continue
		}
		spec, status := d.cfg.Store.StartSpec(a.Ref)
		switch status {
		case TaskEnded:
			d.untrack(l, a)
			d.engine.Finished(now, model.Outcome{Ref: a.Ref, Worker: l.id, Result: model.Succeeded})
			continue
		case TaskCancelled:
			d.stopJob(now, a.Ref.Job)
			d.recordNotStarted(now, l, a)
			continue
		}
		if !d.cfg.Store.RecordStartIntent(a.Ref, func() { d.requeueStart(l, a) }) {
			continue
		}
		spec.Ref, spec.Size = fromRef(a.Ref), wire.Size(a.Size)
		d.setPhase(a, sending)
		batch, specs = append(batch, a), append(specs, spec)
	}
	l.queue = keep
	return batch, specs
}

// requeueStart queues an attempt again after its intent is stored.
func (d *Dispatcher) requeueStart(l *link, a *attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.attempts[a.Ref] == a && a.phase == queued {
		l.queue = append(l.queue, a)
		d.linksToSend[l] = true
		d.RequestRound()
	}
}

// returnBatch gives starts that were refused, or not sent, back to the engine. The
// worker gets no new starts for refusalBackoff.
func (d *Dispatcher) returnBatch(l *link, batch []*attempt) {
	now := time.Now()
	l.backoffUntil = now.Add(refusalBackoff)
	d.updateEngineWorker(now, l)
	for _, a := range batch {
		if l.attempts[a.Ref] == a {
			d.recordNotStarted(now, l, a)
		}
	}
}

// handleStartReply handles the reply to a batch of starts.
func (d *Dispatcher) handleStartReply(l *link, batch []*attempt, resp *wire.StartResponse, err error) {
	now := time.Now()
	var refused *RefusedError
	switch {
	case errors.Is(err, ErrNotSent):
		d.returnBatch(l, batch)
		return
	case errors.As(err, &refused):
		l.lastReplyAt = now
		d.cfg.Leadership.RecordRefusal(l.id, refused.Refusal)
		d.returnBatch(l, batch)
		l.syncNow()
		return
	case err != nil || len(resp.Results) != len(batch):
		l.lastLeaseCallAt = now
		for _, a := range batch {
			if l.attempts[a.Ref] == a && a.phase == sending {
				d.setPhase(a, uncertain)
			}
		}
		d.cfg.Logger.Info("[dispatch] no reply to a start call", zap.String("worker", l.id), zap.Int("tasks", len(batch)), zap.Error(err))
		l.syncNow()
		return
	}
	l.lastReplyAt = now
	var back []*attempt
	for i, a := range batch {
		if l.attempts[a.Ref] != a {
			continue
		}
		switch refusal := resp.Results[i].Refusal; refusal {
		case "":
			d.confirmStart(now, a)
		default:
			d.metrics.refused(string(refusal))
			if refusal == wire.RefusedLeaving {
				l.info.Leaving = true
			}
			back = append(back, a)
		}
	}
	if len(back) > 0 {
		d.returnBatch(l, back)
	}
}

// sendActions sends the actions that the worker has not confirmed yet. A failed call
// is retried after the next sync.
func (d *Dispatcher) sendActions(l *link) {
	ctx := d.ctx
	if d.stopped || ctx == nil {
		return
	}
	var list []*attempt
	for _, a := range l.attempts {
		if a.actionPending && a.phase == running && len(list) < maxActionsPerCall {
			list = append(list, a)
		}
	}
	if len(list) == 0 || l.controlInFlight || l.addr == "" || l.silent {
		return
	}
	req := &wire.ControlRequest{}
	actions := make([]wire.Action, len(list))
	for i, a := range list {
		actions[i] = a.requestedAction
		req.Actions = append(req.Actions, wire.TaskControl{Ref: fromRef(a.Ref), Action: a.requestedAction})
	}
	l.controlInFlight = true
	addr := l.addr
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		var owner wire.Owner
		err, ok := ErrNotSent, l.acquire(ctx)
		if ok {
			defer l.release()
			owner, ok = d.cfg.Leadership.MaySend(l.id)
		}
		if ok {
			req.Owner = owner
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			err = d.cfg.Transport.Control(callCtx, addr, req)
			cancel()
		}
		d.metrics.control(ctx, len(list), err)
		d.mu.Lock()
		defer d.mu.Unlock()
		l.controlInFlight = false
		if err != nil {
			return
		}
		for i, a := range list {
			if a.requestedAction == actions[i] {
				a.actionPending = false
			}
		}
		d.sendActions(l)
	}()
}

// stopAttempts requests a stop of the given attempts.
func (d *Dispatcher) stopAttempts(placements []model.Placement) {
	touched := make(map[*link]bool)
	for _, p := range placements {
		if l, ok := d.links[p.Worker]; ok {
			d.requestAction(l, p.Ref, wire.ActionStop)
			touched[l] = true
		}
	}
	for l := range touched {
		d.startSender(l)
		d.sendActions(l)
	}
}
