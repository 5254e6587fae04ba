package cellsched

import (
	"sync"
	"time"
)

// pacer spaces calls out, so that changes are gathered between them.
type pacer struct {
	gap  time.Duration
	mu   sync.Mutex
	next time.Time
}

// wait returns how long the caller is to wait for its turn.
func (p *pacer) wait(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now
	if p.next.After(at) {
		at = p.next
	}
	p.next = at.Add(p.gap)
	return at.Sub(now)
}
