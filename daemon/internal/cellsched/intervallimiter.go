package cellsched

import (
	"sync"
	"time"
)

// intervalLimiter enforces a minimum interval between calls, so that changes are batched. It
// is safe for concurrent use.
type intervalLimiter struct {
	mu       sync.Mutex
	lastSlot time.Time
}

// reserve reserves the next slot, which is at least interval after the previous one, and
// returns how long the caller has to wait for it.
func (l *intervalLimiter) reserve(now time.Time, interval time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	slot := now
	if earliest := l.lastSlot.Add(interval); earliest.After(slot) {
		slot = earliest
	}
	l.lastSlot = slot
	return slot.Sub(now)
}
