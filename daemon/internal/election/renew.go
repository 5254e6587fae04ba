package election

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/platform"
)

// maxRenewalsInFlight is the number of renewals that are sent within the timeout of one.
const maxRenewalsInFlight = int(renewTimeout / renewInterval)

// lead runs the term and renews its lease until the term is over.
func (e *Elector) lead(ctx context.Context, t Term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.log.Info("[election] term begins", zap.Int64("term", t.Number))
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.runTerm(ctx, t)
	}()
	go func() {
		e.renew(ctx, t)
		cancel()
	}()
	<-done
	e.log.Info("[election] term ends", zap.Int64("term", t.Number))
	e.clearHolder(t.Number)
	e.revoke(e.takeLease())
}

// renewal is the result of one renewal call.
type renewal struct {
	// sent is the clock's reading when the call was sent.
	sent time.Duration
	err  error
}

// renew renews the lease of a term and returns when the term is over. It sends renewals at a
// fixed interval without waiting for responses, because a renewal whose response is lost
// has still taken effect, and a slow store responds late.
func (e *Elector) renew(ctx context.Context, t Term) {
	tick := time.NewTicker(renewInterval)
	defer tick.Stop()
	results := make(chan renewal, maxRenewalsInFlight)
	inFlight := 0
	r := renewalTracker{Elector: e, term: t}
	handover := e.newHandoverTimer()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if holder := e.Current(); holder.Term > t.Number {
				e.log.Warn("[election] term superseded: another VM reported a later term", zap.Int64("term", t.Number), zap.Int64("later", holder.Term))
				return
			}
			if largest := e.largestOther(time.Now()); handover.due(time.Now(), largest) && e.sinceRenewal() < e.ttl {
				e.log.Info("[election] handing the scheduler role over to a larger VM", zap.Int64("term", t.Number),
					zap.Float64("own", e.capacities.Own), zap.Float64("largest", largest))
				e.recordHandover(ctx, t, largest)
				return
			}
			if inFlight == maxRenewalsInFlight {
				continue
			}
			inFlight++
			go func() { results <- e.renewOnce(ctx) }()
		case result := <-results:
			inFlight--
			if ctx.Err() != nil || !r.handle(ctx, result) {
				return
			}
		}
	}
}

func (e *Elector) renewOnce(ctx context.Context) renewal {
	sent := e.clock()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	return renewal{sent: sent, err: e.store.Renew(ctx, e.leaseID())}
}

// renewalTracker handles the results of the renewals of one term.
type renewalTracker struct {
	*Elector
	term Term
	// reclaimedAt is the clock's reading after the last attempt to claim the holder record
	// again. Renewals that were sent earlier used a lease that is known to have expired.
	reclaimedAt time.Duration
	// storeLost is true while no renewal has succeeded for longer than the lease.
	storeLost bool
}

// handle processes the result of a renewal; it reports false if the term is over.
func (r *renewalTracker) handle(ctx context.Context, result renewal) bool {
	if platform.StatusOf(result.err) == http.StatusNotFound {
		if result.sent < r.reclaimedAt {
			return true
		}
		result = renewal{sent: r.clock(), err: r.reclaim(ctx, r.term)}
		var conflict *platform.ConflictError
		if errors.As(result.err, &conflict) {
			r.log.Warn("[election] term superseded: the store holds a later term", zap.Int64("term", r.term.Number))
			return false
		}
		r.reclaimedAt = r.clock()
	}
	switch {
	case result.err == nil:
		if r.storeLost {
			r.log.Info("[election] lease renewals succeed again", zap.Duration("away", r.sinceRenewal()))
		}
		r.lastRenewal.Store(max(r.lastRenewal.Load(), int64(result.sent)))
		r.storeLost = false
	case r.sinceRenewal() > endTermAfter:
		r.log.Warn("[election] term ended: lease not renewed for too long", zap.Int64("term", r.term.Number), zap.Error(result.err))
		return false
	case !r.storeLost && r.sinceRenewal() > r.ttl:
		r.storeLost = true
		r.log.Warn("[election] lease not renewed within its TTL", zap.Duration("since", r.sinceRenewal()), zap.Error(result.err))
	}
	return true
}

// reclaim writes the holder record under a new lease after the old lease has expired,
// unless another term has begun since.
func (e *Elector) reclaim(ctx context.Context, t Term) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, _, err := e.store.Grant(callCtx, e.ttl)
	if err != nil {
		return err
	}
	h := e.self
	h.Term = t.Number
	if _, err := e.claim(callCtx, h, lease, []platform.Condition{{Key: holderKey}, t.Guard}, nil); err != nil {
		e.revoke(lease)
		return err
	}
	e.setLease(lease)
	e.log.Info("[election] lease expired; holder record claimed again under a new lease", zap.Int64("term", t.Number))
	return nil
}
