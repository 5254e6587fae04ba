package relay

import "sync"

// valve holds back one direction of a link while it is shut.
type valve struct {
	mu     sync.Mutex
	change *sync.Cond
	shut   bool
	closed bool
}

func newValve() *valve {
	v := &valve{}
	v.change = sync.NewCond(&v.mu)
	return v
}

func (v *valve) set(shut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.shut = shut
	v.change.Broadcast()
}

// wait blocks while the valve is shut. It returns false once it is closed.
func (v *valve) wait() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for v.shut && !v.closed {
		v.change.Wait()
	}
	return !v.closed
}

func (v *valve) close() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closed = true
	v.change.Broadcast()
}
