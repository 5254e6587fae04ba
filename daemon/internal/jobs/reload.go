package jobs

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/platform"
)

// reload reads a segment after a write conflict. Either an earlier write of this
// process took effect without a reply, or a late write of an earlier zone scheduler
// arrived. reload merges the stored records, and the segment is written again. It
// returns false if the segment could not be read or decoded.
func (js *jobStore) reload(ctx context.Context, s *segment, waiters []waiter) bool {
	e, err := js.store.Get(ctx, s.key)
	missing := errors.Is(err, platform.ErrNotFound)
	if err != nil && !missing {
		js.mu.Lock()
		js.requeueWaiters(s, waiters)
		js.mu.Unlock()
		return false
	}
	var v *segmentValue
	if !missing {
		if v, err = decodeSegment(e.Value); err != nil {
			js.log.Error("[jobs] failed to decode segment", zap.String("key", s.key), zap.Error(err))
			js.mu.Lock()
			js.requeueWaiters(s, waiters)
			js.mu.Unlock()
			return false
		}
	}
	var lateJobs []*record
	js.mu.Lock()
	s.revision = 0
	if !missing {
		s.revision = e.Revision
		for _, r := range v.Jobs {
			if known, ok := js.records[r.ID]; ok {
				known.merge(r)
				continue
			}
			// The engine does not know this job. Its writer had no quorum after the write, so
			// it started none of the job's tasks.
			r.segment, r.persisted = s, false
			s.records[r.ID] = r
			js.records[r.ID] = r
			lateJobs = append(lateJobs, r)
		}
	}
	js.requeueWaiters(s, waiters)
	js.mu.Unlock()
	for _, r := range lateJobs {
		js.onLateJob(r)
	}
	return true
}
