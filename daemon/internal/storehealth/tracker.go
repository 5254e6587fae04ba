// Package storehealth detects from the results of regular store calls whether this VM can
// reach the platform's store, and adapts the timeout of the calls.
package storehealth

import (
	"sync"
	"time"
)

// UnreachableAfter is how long calls may fail before the store counts as unreachable. It is
// longer than a watch waits for a change, so that while the store is reachable at least one
// watch succeeds within it.
const UnreachableAfter = 1300 * time.Millisecond

// Tracker tracks the results of store calls. It is safe for concurrent use.
type Tracker struct {
	mu          sync.Mutex
	lastSuccess time.Time
	// failing is true if a call has failed since the last successful one.
	failing     bool
	unreachable bool
	// onChange is called with the new state and the time since the last successful call.
	onChange func(unreachable bool, sinceSuccess time.Duration)
}

// New returns a tracker that at first considers the store reachable. onChange may be nil.
func New(now time.Time, onChange func(unreachable bool, sinceSuccess time.Duration)) *Tracker {
	if onChange == nil {
		onChange = func(bool, time.Duration) {}
	}
	return &Tracker{lastSuccess: now, onChange: onChange}
}

// Observe records the result of a call that was sent at sent.
func (t *Tracker) Observe(now, sent time.Time, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if served {
		t.lastSuccess, t.failing = now, false
	} else if !sent.Before(t.lastSuccess) {
		// The failure of a call sent before the last success is not evidence that the store
		// is unreachable now, so it does not count.
		t.failing = true
	}
	t.update(now)
}

// Unreachable reports whether the store is unreachable.
func (t *Tracker) Unreachable(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(now)
	return t.unreachable
}

// update recomputes the state at a time and reports a change. The caller holds mu.
func (t *Tracker) update(now time.Time) {
	unreachable := t.failing && now.Sub(t.lastSuccess) > UnreachableAfter
	if unreachable != t.unreachable {
		t.unreachable = unreachable
		t.onChange(unreachable, now.Sub(t.lastSuccess))
	}
}
