package platform

import (
	"context"
	"sort"
	"strings"
	"time"

	wire "rhubarbstall.example/wire/platform"
)

// watch returns the changes with the prefix after a revision. It waits up to
// wait for the first one.
func (s *store) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) wire.WatchResponse {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		resp, changed := s.since(prefix, after)
		if len(resp.Events) > 0 || resp.Compacted {
			return resp
		}
		select {
		case <-changed:
		case <-timer.C:
			return resp
		case <-ctx.Done():
			return resp
		case <-s.done:
			return resp
		}
	}
}

func (s *store) since(prefix string, after uint64) (wire.WatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := wire.WatchResponse{Events: []wire.Event{}, Revision: s.revision}
	// A revision from the future belongs to another store; the caller must list.
	if after < s.compacted || after > s.revision {
		resp.Compacted = true
		return resp, s.changed
	}
	start := sort.Search(len(s.events), func(i int) bool { return s.events[i].Entry.Revision > after })
	for _, e := range s.events[start:] {
		if strings.HasPrefix(e.Entry.Key, prefix) {
			resp.Events = append(resp.Events, e)
		}
	}
	return resp, s.changed
}

// compact forgets all changes so far.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.events = nil
	close(s.changed)
	s.changed = make(chan struct{})
}
