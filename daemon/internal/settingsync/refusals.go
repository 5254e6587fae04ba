package settingsync

import (
	"sync"
	"time"
)

// refusalTime is how long a record that cannot be used is not read again.
const refusalTime = 10 * time.Second

// maxRefusals bounds the memory of refusals.
const maxRefusals = 64

// refusals remembers revisions that could not be used.
type refusals struct {
	mu    sync.Mutex
	until map[refusal]time.Time
}

// refusal names a revision and the place that it was read from.
type refusal struct {
	source   string
	revision uint64
}

func newRefusals() *refusals {
	return &refusals{until: make(map[refusal]time.Time)}
}

// add remembers a refusal and tells whether it is new.
func (r *refusals) add(source string, revision uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	key := refusal{source, revision}
	isNew := now.After(r.until[key])
	if len(r.until) >= maxRefusals {
		clear(r.until)
	}
	r.until[key] = now.Add(refusalTime)
	return isNew
}

// has tells whether a revision was refused a short time ago.
func (r *refusals) has(source string, revision uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.until[refusal{source, revision}])
}
