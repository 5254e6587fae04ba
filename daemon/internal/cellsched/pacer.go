package cellsched

import (
	"sync"
	"time"
)

// pacer spaces calls out, so that changes are gathered between them.
type pacer struct {
	mu   sync.Mutex
	last time.Time
}

// wait returns how long the caller is to wait for its turn, which comes a gap after the
// turn before.
func (p *pacer) wait(now time.Time, gap time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now
	if next := p.last.Add(gap); next.After(at) {
		at = next
	}
	p.last = at
	return at.Sub(now)
}
