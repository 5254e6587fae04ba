package cellstore

import (
	"net/http"
	"strings"
	"time"
)

// maxWatchEvents is how many changes an answer to a watch holds at most. The next call continues after them.
const maxWatchEvents = 500

func (s *Store) watch(r *http.Request, prefix string, after int64, wait time.Duration) (int, any) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.expire(time.Now())
		if after < s.compacted {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > maxWatchEvents {
			events = events[:maxWatchEvents]
			at = events[maxWatchEvents-1].Revision
		}
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "at": at}
		}
		// An expired lease removes records only when expire is called, so wake up regularly.
		poll := time.NewTimer(50 * time.Millisecond)
		select {
		case <-changed:
		case <-poll.C:
		case <-timer.C:
			poll.Stop()
			return http.StatusOK, map[string]any{"events": events, "at": at}
		case <-r.Context().Done():
			poll.Stop()
			panic(http.ErrAbortHandler)
		}
		poll.Stop()
	}
}
