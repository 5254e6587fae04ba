package cellsched

import (
	"maps"
	"slices"
	"sync"

	"go.uber.org/zap/zapcore"
)

// countsByName counts, for the next load line, how often each named event occurred, for example each
// reason for a refusal. Several goroutines may use it at once.
type countsByName struct {
	mu     sync.Mutex
	counts namedCounts
}

func (c *countsByName) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(namedCounts)
	}
	c.counts[name]++
}

// take returns the counts since the last call.
func (c *countsByName) take() namedCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.counts
	c.counts = nil
	return n
}

// namedCounts holds numbers of events by name.
type namedCounts map[string]int

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (n namedCounts) MarshalLogObject(e zapcore.ObjectEncoder) error {
	for _, name := range slices.Sorted(maps.Keys(n)) {
		e.AddInt(name, n[name])
	}
	return nil
}
