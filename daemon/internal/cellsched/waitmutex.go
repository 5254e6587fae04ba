package cellsched

import (
	"sync"
	"time"
)

// waitMutex is a mutex that records the durations for which callers wait for it.
type waitMutex struct {
	mu    sync.Mutex
	waits durationHistogram
}

// Lock locks the mutex. It reads the clock only if the caller has to wait.
func (m *waitMutex) Lock() {
	if m.mu.TryLock() {
		return
	}
	begin := time.Now()
	m.mu.Lock()
	m.waits.record(time.Since(begin))
}

func (m *waitMutex) Unlock() { m.mu.Unlock() }
