package election

import (
	"context"
	"errors"
	"net/http"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/wait"
	"rhubarbstall.example/platform"
)

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

// maxFailures bounds the count of failed renewals, past which their limit stays.
const maxFailures = 4

// renew returns when the term is over.
func (e *Elector) renew(ctx context.Context, t Term) {
	lost := false
	failures := 0
	for {
		// A renewal that ran into its limit is repeated at once.
		if failures != 1 && !wait.For(ctx, renewEvery) {
			return
		}
		if now := e.Current(); now.Term > t.Number {
			e.log.Warn("[election] another VM tells of a later term", zap.Int64("term", t.Number), zap.Int64("later", now.Term))
			return
		}
		sent := e.clock()
		callCtx, cancel := context.WithTimeout(ctx, min(renewTimeout<<failures, maxRenewTimeout))
		err := e.store.Renew(callCtx, e.leaseID())
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures = min(failures+1, maxFailures)
		} else {
			failures = 0
		}
		if platform.StatusOf(err) == http.StatusNotFound {
			err = e.reclaim(ctx, t)
			var conflict *platform.ConflictError
			if errors.As(err, &conflict) {
				e.log.Warn("[election] another term has begun", zap.Int64("term", t.Number))
				return
			}
		}
		switch {
		case err == nil:
			if lost {
				e.log.Info("[election] store regained", zap.Duration("away", e.away()))
			}
			e.renewed.Store(int64(sent))
			lost = false
		case e.away() > giveUp:
			e.log.Warn("[election] term given up without the store", zap.Int64("term", t.Number), zap.Error(err))
			return
		case !lost && e.away() > LeaseTTL:
			lost = true
			e.log.Warn("[election] store lost", zap.Duration("since", e.away()), zap.Error(err))
		}
	}
}

// reclaim sets the holder's record again after its lease has ended, if no other
// term has begun since.
func (e *Elector) reclaim(ctx context.Context, t Term) error {
	callCtx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	lease, _, err := e.store.Grant(callCtx, LeaseTTL)
	if err != nil {
		return err
	}
	h := e.self
	h.Term = t.Number
	if _, err := e.claim(callCtx, h, lease, []platform.Condition{{Key: holderKey}, t.Guard}, false); err != nil {
		e.drop(lease)
		return err
	}
	e.setLease(lease)
	e.log.Info("[election] lease ended and was claimed again", zap.Int64("term", t.Number))
	return nil
}
