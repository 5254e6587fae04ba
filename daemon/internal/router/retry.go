package router

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// maxRetries bounds the retries of one request; the retry budget applies as well.
	maxRetries  = 4
	backoffBase = 10 * time.Millisecond
	backoffMax  = 250 * time.Millisecond
)

// mayRetry decides whether a failed request gets another attempt. Only the entry
// VM that received the request from the caller retries, so that retries do not
// multiply over hops. A no-repeat request is retried only if no byte of it left
// this process.
func (r *Router) mayRetry(c *call, o Outcome, res result, percent int) bool {
	if c.hops > 0 || c.retries >= maxRetries {
		return false
	}
	if c.noRepeat && (o != NotRun || res.mayHaveSent) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.budget.AllowRetry(r.now(), percent) {
		return false
	}
	c.retries++
	return true
}

// waitBackoff waits for a random time whose bound grows with the number of
// retries. It returns false if the context ends first.
func waitBackoff(ctx context.Context, retries int) bool {
	bound := min(backoffMax, backoffBase<<min(retries, 10))
	t := time.NewTimer(rand.N(bound))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
