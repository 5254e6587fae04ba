package cellsched

import (
	"math/rand/v2"
	"time"

	"rhubarbstall.example/sched/cell"
)

const (
	// loadMemory is how long a reading of the scheduler's load counts; a few calls to
	// its VM fit into it.
	loadMemory = 3 * time.Second
	// jobMemoryShare of a VM's memory may be taken by known jobs; the rest is for
	// connections, copies on the way to the store, and the collector's slack.
	jobMemoryShare = 0.25
)

type loadReading struct {
	load cell.Load
	at   time.Time
}

// JobMemory returns the memory in bytes that known jobs may take on a VM with so many MB.
func JobMemory(vmMB int) int64 { return int64(float64(vmMB) * jobMemoryShare * (1 << 20)) }

// Load returns the present load.
func (s *Scheduler) Load(now time.Time) cell.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cell.Load(now)
}

// Admits reports whether a further job may be accepted, as far as the scheduler's load is
// known here; if not, after what time the caller should return. The times are spread, so
// that rejected callers do not return together.
func (c *Client) Admits(now time.Time) (bool, time.Duration) {
	var load cell.Load
	if s := c.holder.Current(); s != nil {
		load = s.Load(now)
	} else if r := c.load.Load(); r != nil && now.Sub(r.at) < loadMemory {
		load = r.load
	}
	ok, after := load.Admits(c.jobMemory)
	if ok {
		return true, 0
	}
	return false, after + rand.N(after/2+1)
}
