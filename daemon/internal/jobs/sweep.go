package jobs

import "time"

// sweepPeriod is how often finished jobs are marked and old ones removed.
const sweepPeriod = 5 * time.Second

// sweep marks jobs that have finished, which are returned, and removes those
// that finished longer ago than the retention time.
func (g *ledger) sweep(now time.Time, active func(id string) int) []string {
	g.mu.Lock()
	var candidates []*record
	for _, r := range g.records {
		if r.accepted && r.Finished.IsZero() && (r.Cancelled && r.cancelStored || r.endedCount() >= r.Spec.Tasks) {
			candidates = append(candidates, r)
		}
	}
	g.mu.Unlock()
	// The loop is asked without the ledger's lock, since it calls the ledger with
	// its own lock held.
	busy := make(map[*record]bool)
	for _, r := range candidates {
		busy[r] = active(r.ID) > 0
	}
	var finished []string
	keep := g.retention()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range candidates {
		if !busy[r] && r.Finished.IsZero() && g.records[r.ID] == r {
			r.Finished = now.UTC().Truncate(time.Millisecond)
			r.Checkpoints, r.large = nil, nil
			g.markDirty(r.segment)
			finished = append(finished, r.ID)
		}
	}
	for _, r := range g.records {
		if !r.Finished.IsZero() && now.Sub(r.Finished) > keep {
			g.remove(r)
			g.markDirty(r.segment)
		}
	}
	return finished
}
