package once

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

const (
	minOutcomeBackoff = 100 * time.Millisecond
	maxOutcomeBackoff = 5 * time.Second
	// releaseTimeout bounds the attempts to remove an abandoned claim. If they fail, a
	// second submission learns from this entry VM that the claim is abandoned and
	// replaces it.
	releaseTimeout = time.Minute
)

// storeOutcome writes an outcome in the background and retries until it is
// stored. The number of these writes is bounded because no new claims are made
// while the platform is unavailable.
func (r *Registry) storeOutcome(c *Claim, op operation) {
	go func() {
		for wait := minOutcomeBackoff; ; wait = min(2*wait, maxOutcomeBackoff) {
			err := r.committers[c.bucketIndex].commit(context.Background(), op)
			if err == nil {
				break
			}
			r.metrics.countOutcomeRetry()
			r.log.Warn("[once] cannot store an outcome; will retry", zap.Error(err))
			time.Sleep(wait/2 + rand.N(wait/2))
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.removeLocked(c)
	}()
}

// releaseInBackground removes an abandoned claim whose write was ambiguous. If too
// many removals are in progress, it leaves the claim in place; a later submission of
// the key replaces it.
func (r *Registry) releaseInBackground(c *Claim) {
	select {
	case r.releaseSemaphore <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-r.releaseSemaphore }()
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		for ctx.Err() == nil {
			if r.committers[c.bucketIndex].commit(ctx, &releaseOp{key: c.key, claim: c.id}) == nil {
				return
			}
			time.Sleep(minOutcomeBackoff + rand.N(minOutcomeBackoff))
		}
	}()
}
