package election

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/platform"
)

// maxRenewals bounds the renewals under way: as many as are sent within the time limit
// of one.
const maxRenewals = int(renewTimeout / renewEvery)

// serve runs the term and renews its lease until the term is over.
func (e *Elector) serve(ctx context.Context, t Term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.log.Info("[election] term begins", zap.Int64("term", t.Number))
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.lead(ctx, t)
	}()
	go func() {
		e.renew(ctx, t)
		cancel()
	}()
	<-done
	e.log.Info("[election] term ends", zap.Int64("term", t.Number))
	e.forget(t.Number)
	e.drop(e.takeLease())
}

// renewal is the outcome of one renewal.
type renewal struct {
	sent time.Duration
	err  error
}

// renew returns when the term is over. Renewals are sent at a steady pace without waiting
// for answers: one whose answer is lost has still taken effect, and a slow store answers
// late.
func (e *Elector) renew(ctx context.Context, t Term) {
	tick := time.NewTicker(renewEvery)
	defer tick.Stop()
	outcomes := make(chan renewal, maxRenewals)
	underWay := 0
	r := renewer{Elector: e, term: t}
	change := e.newHandover()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if now := e.Current(); now.Term > t.Number {
				e.log.Warn("[election] another VM tells of a later term", zap.Int64("term", t.Number), zap.Int64("later", now.Term))
				return
			}
			if largest := e.largest(time.Now()); change.due(time.Now(), largest) && e.away() < e.ttl {
				e.log.Info("[election] role handed over to a larger VM", zap.Int64("term", t.Number),
					zap.Float64("own", e.standing.Own), zap.Float64("largest", largest))
				e.recordHandover(ctx, t, largest)
				return
			}
			if underWay == maxRenewals {
				continue
			}
			underWay++
			go func() { outcomes <- e.renewOnce(ctx) }()
		case o := <-outcomes:
			underWay--
			if ctx.Err() != nil || !r.take(ctx, o) {
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

// renewer follows the outcomes of the renewals of one term.
type renewer struct {
	*Elector
	term Term
	// reclaimed is when the holder's record was last set again.
	reclaimed time.Duration
	lost      bool
}

// take takes an outcome into account; it reports false if the term is over.
func (r *renewer) take(ctx context.Context, o renewal) bool {
	if platform.StatusOf(o.err) == http.StatusNotFound {
		if o.sent < r.reclaimed {
			return true
		}
		o = renewal{sent: r.clock(), err: r.reclaim(ctx, r.term)}
		var conflict *platform.ConflictError
		if errors.As(o.err, &conflict) {
			r.log.Warn("[election] another term has begun", zap.Int64("term", r.term.Number))
			return false
		}
		r.reclaimed = r.clock()
	}
	switch {
	case o.err == nil:
		if r.lost {
			r.log.Info("[election] store regained", zap.Duration("away", r.away()))
		}
		r.renewed.Store(max(r.renewed.Load(), int64(o.sent)))
		r.lost = false
	case r.away() > giveUp:
		r.log.Warn("[election] term given up without the store", zap.Int64("term", r.term.Number), zap.Error(o.err))
		return false
	case !r.lost && r.away() > r.ttl:
		r.lost = true
		r.log.Warn("[election] store lost", zap.Duration("since", r.away()), zap.Error(o.err))
	}
	return true
}

// reclaim sets the holder's record again after its lease has ended, if no other
// term has begun since.
func (e *Elector) reclaim(ctx context.Context, t Term) error {
	callCtx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	lease, _, err := e.store.Grant(callCtx, e.ttl)
	if err != nil {
		return err
	}
	h := e.self
	h.Term = t.Number
	if _, err := e.claim(callCtx, h, lease, []platform.Condition{{Key: holderKey}, t.Guard}, nil); err != nil {
		e.drop(lease)
		return err
	}
	e.setLease(lease)
	e.log.Info("[election] lease ended and was claimed again", zap.Int64("term", t.Number))
	return nil
}
