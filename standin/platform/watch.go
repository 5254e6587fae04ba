package platform

import (
	"context"
	"sort"
	"strings"
	"time"

	wire "rhubarbstall.example/wire/platform"
)

// watch returns the changes after a revision of the keys with the prefix. If there are
// none, it waits up to wait for the first one.
func (s *store) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) wire.WatchResponse {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		resp, changed := s.eventsAfter(prefix, after)
		if len(resp.Events) > 0 || resp.Compacted {
			return resp
		}
		select {
		case <-changed:
		case <-timer.C:
			return resp
		case <-ctx.Done():
			return resp
		case <-s.closing:
			return resp
		}
	}
}

// eventsAfter returns the matching changes and a channel that is closed at the next change.
func (s *store) eventsAfter(prefix string, after uint64) (wire.WatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := wire.WatchResponse{Events: []wire.Event{}, Revision: s.revision}
	// A revision above the current one comes from another store; the caller must list.
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

// compact drops all recorded changes, so a watch from an earlier revision must list again.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.events = nil
	close(s.changed)
	s.changed = make(chan struct{})
}
