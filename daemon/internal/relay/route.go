package relay

import (
	"fmt"
	"time"

	"rhubarbstall.example/sched/relays"
)

// route returns the session that relays the calls to a runner; nil if they are made directly. It fails
// with ErrLost while a new relay is awaited.
func (p *Pool) route(runner string) (*session, error) {
	p.mu.RLock()
	x, known := p.owners[runner]
	n := len(p.active)
	awaited := n == 0 && time.Since(p.changedAt) < directAfter
	p.mu.RUnlock()
	if awaited {
		return nil, fmt.Errorf("%w: %w", ErrNotPassedOn, ErrLost)
	}
	if known || n == 0 {
		return x, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := make([]relays.VM, len(p.active))
	for i, a := range p.active {
		vms[i] = a.vm
	}
	if i := relays.Owner(runner, vms); i >= 0 {
		x = p.active[i]
	}
	p.owners[runner] = x
	return x, nil
}
