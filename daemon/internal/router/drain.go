package router

import (
	"context"

	"go.uber.org/zap"
)

// Drain rejects new requests and waits until the requests in progress have ended
// and the outcomes of no-repeat requests are stored. If the context ends first,
// Drain returns its error and leaves the remaining requests running.
func (r *Router) Drain(ctx context.Context) error {
	done := make(chan struct{})
	r.mu.Lock()
	r.draining = true
	active := r.activeRequests
	r.idleWaiters = append(r.idleWaiters, done)
	r.notifyIdle()
	r.mu.Unlock()
	r.log.Info("[router] draining; waiting for requests in progress", zap.Int("in_progress", active))
	select {
	case <-done:
		return r.once.Drain(ctx)
	case <-ctx.Done():
		r.mu.Lock()
		active = r.activeRequests
		r.mu.Unlock()
		r.log.Warn("[router] drain timed out with requests in progress", zap.Int("in_progress", active))
		return ctx.Err()
	}
}
