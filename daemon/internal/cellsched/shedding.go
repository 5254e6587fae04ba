package cellsched

import "time"

// sheddingRunQueue is the run queue latency (99th percentile in the last second) from which on a scheduler
// refuses calls of other VMs that these can do without. On a VM whose processor is the limit everything waits
// that long again and again, also what keeps the cell going: reports, decisions and writes. It is
// above what a burst takes on a VM that keeps up, and below the timeouts of calls.
const sheddingRunQueue = 200 * time.Millisecond

// shedding reports whether calls of other VMs are refused that these can do without: states are in the
// store, and callers may ask again for pending jobs. Submitted jobs are taken all the same, since the watch of
// the store, which brings the others, may be what is late.
func (s *Scheduler) shedding() bool {
	r := s.loadCounts.lastReport.Load()
	return r != nil && r.process.runQueue > sheddingRunQueue
}
