package router

import (
	"context"
	"time"
)

const stallCheckInterval = 100 * time.Millisecond

// callPeriodically calls f once per period until f returns false or stop is
// called.
func callPeriodically(period time.Duration, f func() bool) (stop func()) {
	done := make(chan struct{})
	go func() {
		t := time.NewTicker(period)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
				if !f() {
					return
				}
			}
		}
	}()
	return func() { close(done) }
}

// cancelOnStall cancels a stalled request on a runner that has answered nothing
// since the request was sent, to leave time for an attempt on another runner. It
// is used only for requests that may be repeated.
func (r *Router) cancelOnStall(g grant, cancel context.CancelFunc) (stop func()) {
	return callPeriodically(stallCheckInterval, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		h := &g.upstream.health
		f := h.inFlight[g.attemptID]
		if f.stalled(r.now()) && h.lastSuccess.Before(f.sentAt) {
			cancel()
			return false
		}
		return true
	})
}
