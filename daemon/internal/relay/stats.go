package relay

// Stats counts what a pool does. Batches and Calls are sums since it was made.
type Stats struct {
	// Relays is the number of relays in use, and Waiting that of calls without an answer.
	Relays, Waiting int
	// Batches counts the batches to relays, Calls the calls in them.
	Batches, Calls int64
}

// Stats returns the present counts.
func (p *Pool) Stats() Stats {
	p.mu.RLock()
	defer p.mu.RUnlock()
	s := Stats{Relays: len(p.active), Batches: p.batches.Load(), Calls: p.calls.Load()}
	for _, x := range p.sessions {
		s.Waiting += x.callCount()
	}
	return s
}
