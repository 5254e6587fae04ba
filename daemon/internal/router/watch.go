package router

import (
	"context"
	"time"
)

const stallCheck = 100 * time.Millisecond

// every calls f in the period until f returns false or stop is called.
func every(period time.Duration, f func() bool) (stop func()) {
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

// watchStall cancels a request that may be repeated on a runner that answers
// nothing for far longer than usual, so that time is left for another runner.
func (r *Router) watchStall(g grant, cancel context.CancelFunc) (stop func()) {
	return every(stallCheck, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		h := &g.upstream.health
		f := h.flights[g.flight]
		if f.stalled(r.now()) && h.lastSuccess.Before(f.at) {
			cancel()
			return false
		}
		return true
	})
}
