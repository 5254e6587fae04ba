package settingsync

import (
	"sync"
	"time"
)

// rejectionTTL is how long an unusable record is not fetched again.
const rejectionTTL = 10 * time.Second

// maxRejections bounds the entries of the cache.
const maxRejections = 64

// rejectionCache remembers for a while which revisions could not be used.
type rejectionCache struct {
	mu    sync.Mutex
	until map[rejectionKey]time.Time
}

// rejectionKey identifies a revision and the source that it was read from.
type rejectionKey struct {
	source   string
	revision uint64
}

func newRejectionCache() *rejectionCache {
	return &rejectionCache{until: make(map[rejectionKey]time.Time)}
}

// add records a rejection and reports whether it was not in the cache.
func (r *rejectionCache) add(source string, revision uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	key := rejectionKey{source, revision}
	isNew := now.After(r.until[key])
	if len(r.until) >= maxRejections {
		clear(r.until)
	}
	r.until[key] = now.Add(rejectionTTL)
	return isNew
}

// contains reports whether a revision was rejected within rejectionTTL.
func (r *rejectionCache) contains(source string, revision uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.until[rejectionKey{source, revision}])
}
