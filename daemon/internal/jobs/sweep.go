package jobs

import "time"

// sweepPeriod is the interval at which finished jobs are marked and expired ones removed.
const sweepPeriod = 5 * time.Second

// sweep marks jobs that have finished and returns their IDs. It removes jobs that
// finished longer ago than the retention time.
func (js *jobStore) sweep(now time.Time, active func(id string) int) []string {
	js.mu.Lock()
	var candidates []*record
	for _, r := range js.records {
		if r.persisted && r.Finished.IsZero() && (r.Cancelled && r.cancelStored || r.endedCount() >= r.Spec.Tasks) {
			candidates = append(candidates, r)
		}
	}
	js.mu.Unlock()
	// Call active without the lock of the jobStore, because the dispatcher calls the
	// jobStore with its own lock held.
	busy := make(map[*record]bool)
	for _, r := range candidates {
		busy[r] = active(r.ID) > 0
	}
	var finished []string
	keep := js.retention()
	js.mu.Lock()
	defer js.mu.Unlock()
	for _, r := range candidates {
		if !busy[r] && r.Finished.IsZero() && js.records[r.ID] == r {
			r.Finished = now.UTC().Truncate(time.Millisecond)
			r.Checkpoints, r.unstoredCheckpoints = nil, nil
			js.markDirty(r.segment)
			finished = append(finished, r.ID)
		}
	}
	for _, r := range js.records {
		if !r.Finished.IsZero() && now.Sub(r.Finished) > keep {
			js.removeRecord(r)
			js.markDirty(r.segment)
		}
	}
	return finished
}
