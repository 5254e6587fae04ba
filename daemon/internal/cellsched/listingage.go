package cellsched

import (
	"sync"
	"time"
)

// listingAge tells how old this scheduler's knowledge of the runners' entries is. On a busy VM the
// answers to watch calls are processed late, and a runner that leaves still looks ready. It is safe
// for concurrent use.
type listingAge struct {
	mu sync.Mutex
	// asOf is the time as of which all changes have been applied.
	asOf time.Time
	// failing tells that the last watch call failed: then the store or the path to it is the
	// cause, and waiting for news would only stop the work that is stored already.
	failing bool
}

// applied records that all changes up to a time have been applied.
func (a *listingAge) applied(asOf time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asOf, a.failing = asOf, false
}

// failed records a watch call without an answer.
func (a *listingAge) failed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failing = true
}

// exceeds reports whether the knowledge is older than limit, and its age.
func (a *listingAge) exceeds(now time.Time, limit time.Duration) (bool, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.asOf.IsZero() || a.failing {
		return false, 0
	}
	age := now.Sub(a.asOf)
	return age > limit, age
}
