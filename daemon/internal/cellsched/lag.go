package cellsched

import (
	"context"
	"sync/atomic"
	"time"

	"rhubarbstall.example/daemon/internal/wait"
)

const (
	// lagInterval is the interval at which the lag of the process is measured, and lagWeight the
	// weight of a new measurement in the moving average.
	lagInterval = 20 * time.Millisecond
	lagWeight   = 0.1
	// sheddingLag is the average lag from which on calls of other VMs are refused that these can do
	// without. It is above what a burst of work takes, and far below the timeouts of calls.
	sheddingLag = 60 * time.Millisecond
)

// lagMonitor measures how late goroutines of this process run: the time by which a sleep is too long. On a VM
// whose processor is the limit, everything waits that long again and again, also what keeps the cell
// going: reports, decisions and writes.
type lagMonitor struct {
	// average is in nanoseconds.
	average atomic.Int64
}

// run measures until the context ends.
func (m *lagMonitor) run(ctx context.Context) {
	for {
		begin := time.Now()
		if !wait.For(ctx, lagInterval) {
			return
		}
		late := max(0, time.Since(begin)-lagInterval)
		average := time.Duration(m.average.Load())
		m.average.Store(int64(average + time.Duration(lagWeight*float64(late-average))))
	}
}

// lag returns the average lag.
func (m *lagMonitor) lag() time.Duration { return time.Duration(m.average.Load()) }

// shedding reports whether calls of other VMs are refused that these can do without: they find
// submitted jobs and states in the store.
func (s *Scheduler) shedding() bool { return s.lag.lag() > sheddingLag }
