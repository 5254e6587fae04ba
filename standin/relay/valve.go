package relay

import (
	"sync"
	"time"
)

// valve blocks one direction of a link while it is shut.
type valve struct {
	mu      sync.Mutex
	changed *sync.Cond
	shut    bool
	latency time.Duration
	closed  bool
}

func newValve() *valve {
	v := &valve{}
	v.changed = sync.NewCond(&v.mu)
	return v
}

func (v *valve) set(shut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.shut = shut
	v.changed.Broadcast()
}

func (v *valve) delay(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.latency = d
}

// wait blocks for the latency, and while the valve is shut. It returns false once the valve has been closed.
func (v *valve) wait() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if d := v.latency; d > 0 {
		v.mu.Unlock()
		time.Sleep(d)
		v.mu.Lock()
	}
	for v.shut && !v.closed {
		v.changed.Wait()
	}
	return !v.closed
}

func (v *valve) close() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closed = true
	v.changed.Broadcast()
}
