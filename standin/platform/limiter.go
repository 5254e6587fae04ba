package platform

import (
	"sync"

	"golang.org/x/time/rate"
)

// Counts holds the number of calls, and of calls refused by the rate limit, by type.
type Counts struct {
	Calls   map[string]uint64 `json:"calls"`
	Refused map[string]uint64 `json:"refused"`
}

// limiter counts calls and limits their rate. Reads and writes have separate token
// buckets, each with a burst of a quarter of a second.
type limiter struct {
	writes *rate.Limiter
	reads  *rate.Limiter

	mu     sync.Mutex
	counts Counts
}

func newLimiter(writes, reads int) *limiter {
	return &limiter{
		writes: rate.NewLimiter(rate.Limit(writes), max(1, writes/4)),
		reads:  rate.NewLimiter(rate.Limit(reads), max(1, reads/4)),
		counts: Counts{Calls: make(map[string]uint64), Refused: make(map[string]uint64)},
	}
}

// allow counts a call and reports whether the rate limit permits it.
func (l *limiter) allow(call string, write bool) bool {
	bucket := l.reads
	if write {
		bucket = l.writes
	}
	ok := bucket.Allow()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Calls[call]++
	if !ok {
		l.counts.Refused[call]++
	}
	return ok
}

func (l *limiter) snapshot() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Counts{Calls: make(map[string]uint64), Refused: make(map[string]uint64)}
	for k, n := range l.counts.Calls {
		c.Calls[k] = n
	}
	for k, n := range l.counts.Refused {
		c.Refused[k] = n
	}
	return c
}
