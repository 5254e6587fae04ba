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
}

// applied records that all changes up to a time have been applied.
func (a *listingAge) applied(asOf time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asOf = asOf
}

// exceeds reports whether the knowledge is older than limit, and its age.
func (a *listingAge) exceeds(now time.Time, limit time.Duration) (bool, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.asOf.IsZero() {
		return false, 0
	}
	age := now.Sub(a.asOf)
	return age > limit, age
}
