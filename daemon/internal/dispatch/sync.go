package dispatch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/sched/model"
	wire "rhubarbstall.example/wire/worker"
)

// syncWorker claims or renews the worker's lease and handles the reported changes. A
// silent worker is only probed: the probe has epoch zero and renews nothing.
// Otherwise a worker whose replies are lost would keep its tasks forever.
func (d *Dispatcher) syncWorker(ctx context.Context, l *link) {
	d.mu.Lock()
	addr, probe := l.addr, l.silent
	if addr == "" {
		d.checkSilence(time.Now(), l)
		d.mu.Unlock()
		return
	}
	req := &wire.SyncRequest{Owner: d.cfg.Leadership.NextClaim(l.id), LeaseMillis: 1, TaskLeaseMillis: d.cfg.TaskLease().Milliseconds()}
	requestsFullState := !l.fullStateKnown && !d.cfg.Leadership.QuorumReachedAt().IsZero()
	var acked []model.TaskRef
	var uncertainStarts []*attempt
	knownRunning := make(map[*attempt]bool)
	if probe {
		req.Owner.Epoch = 0
	} else {
		req.LeaseMillis = d.cfg.Leadership.LeaseDuration().Milliseconds()
		req.Since = l.sequence
		if requestsFullState {
			req.Since = 0
		}
		for ref := range l.pendingAcks {
			if len(acked) == maxAcksPerSync {
				break
			}
			acked = append(acked, ref)
			req.Acknowledge = append(req.Acknowledge, fromRef(ref))
		}
		for _, a := range l.attempts {
			switch a.phase {
			case uncertain:
				uncertainStarts = append(uncertainStarts, a)
				req.Since = 0
			case running:
				knownRunning[a] = true
			}
		}
	}
	d.mu.Unlock()
	sentAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	resp, err := d.cfg.Transport.Sync(callCtx, addr, req)
	cancel()
	now := time.Now()
	d.metrics.sync(ctx, err)
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		l.lastReplyAt = now
		if !probe {
			d.cfg.Leadership.RecordRefusal(l.id, refused.Refusal)
		}
		d.markResponsive(l)
	case err != nil:
		if !errors.Is(err, ErrNotSent) && !probe {
			l.lastLeaseCallAt = now
		}
	case probe:
		l.lastReplyAt = now
		d.markResponsive(l)
	default:
		l.lastReplyAt, l.lastLeaseCallAt = now, now
		d.cfg.Leadership.RecordGrant(l.id, resp.Instance, req.Owner.Epoch, sentAt)
		d.markResponsive(l)
		if requestsFullState && resp.Full {
			l.fullStateKnown = true
		}
		if l.fullStateKnown {
			d.applySync(now, l, resp, knownRunning, uncertainStarts)
		} else {
			// Without the quorum, only the vote counts. The running tasks may change until the
			// quorum is reached, and the full state is requested then.
			l.sequence, l.info = resp.Sequence, resp.Info
		}
		for _, ref := range acked {
			delete(l.pendingAcks, ref)
		}
	}
	d.checkSilence(now, l)
	d.updateEngineWorker(now, l)
	d.sendActions(l)
}

// markResponsive marks a silent worker as responsive again.
func (d *Dispatcher) markResponsive(l *link) {
	if !l.silent {
		return
	}
	l.silent, l.leasesExpired = false, false
	d.cfg.Logger.Info("[dispatch] worker responds again", zap.String("worker", l.id))
	l.syncNow()
}

// checkSilence marks a worker as silent if it has not replied for longer than the
// owner lease, and later marks its leases as expired.
func (d *Dispatcher) checkSilence(now time.Time, l *link) {
	last := l.lastReplyAt
	if last.IsZero() {
		last = l.createdAt
	}
	if !l.silent && now.Sub(last) > d.cfg.Leadership.LeaseDuration() {
		l.silent = true
		d.cfg.Logger.Info("[dispatch] worker is silent", zap.String("worker", l.id))
	}
	if !l.silent || l.leasesExpired {
		return
	}
	since := l.lastLeaseCallAt
	if reachedAt := d.cfg.Leadership.QuorumReachedAt(); reachedAt.IsZero() {
		return
	} else if reachedAt.After(since) && !d.recovered {
		since = reachedAt
	}
	if l.createdAt.After(since) {
		since = l.createdAt
	}
	if now.Sub(since) <= d.leaseExpiryWait() {
		return
	}
	l.leasesExpired = true
	d.cfg.Logger.Info("[dispatch] leases of silent worker have expired", zap.String("worker", l.id), zap.Int("attempts", len(l.attempts)))
	d.recordAllLost(now, l, nil)
}

// updateEngineWorker passes the capacity and state of a worker to the engine.
func (d *Dispatcher) updateEngineWorker(now time.Time, l *link) {
	if !l.fullStateKnown {
		return
	}
	d.engine.UpsertWorker(now, model.Worker{
		ID: l.id, Zone: d.cfg.Zone, Rack: l.info.Rack, Capacity: l.capacity(d.isTracked), State: l.state(now),
	})
	d.RequestRound()
}
