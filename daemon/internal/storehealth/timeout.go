package storehealth

import (
	"sync"
	"time"
)

const (
	// minTimeout is longer than the pauses of a VM that has used up its CPU quota.
	minTimeout = 200 * time.Millisecond
	// MaxTimeout is the longest timeout of a call: several response times of a slow store.
	MaxTimeout = time.Second
	// timeoutFactor is the ratio of the timeout to the longest recent response time.
	timeoutFactor = 4
	// peakDecay makes a slow response lose its influence over some tens of faster ones.
	peakDecay = 0.95
)

// AdaptiveTimeout derives the timeout of store calls from recent response times. It is made
// for networks that lose some of the responses: a long timeout delays callers whose response
// was lost, but a short one fails every call while the store is slow. It is safe for
// concurrent use.
type AdaptiveTimeout struct {
	mu sync.Mutex
	// peak is the longest recent response time; it decays with each response.
	peak time.Duration
	// timeouts counts the consecutive calls that timed out, each sent after the previous
	// one had timed out.
	timeouts   int
	timedOutAt time.Time
}

// ObserveAnswer records the response time of a call.
func (t *AdaptiveTimeout) ObserveAnswer(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peak = max(took, time.Duration(float64(t.peak)*peakDecay))
	t.timeouts = 0
}

// ObserveTimeout records that a call sent at sent timed out. Of calls in flight at the same
// time only the first timeout counts.
func (t *AdaptiveTimeout) ObserveTimeout(now, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sent.Before(t.timedOutAt) {
		return
	}
	t.timeouts++
	t.timedOutAt = now
}

// Timeout returns the timeout for the next call. It doubles with each consecutive timeout, up
// to MaxTimeout.
func (t *AdaptiveTimeout) Timeout() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	timeout := max(minTimeout, timeoutFactor*t.peak)
	for i := 0; i < t.timeouts && timeout < MaxTimeout; i++ {
		timeout *= 2
	}
	return min(timeout, MaxTimeout)
}
