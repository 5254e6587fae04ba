package jobs

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/platform"
)

// reload reads a segment back after a conflict: an earlier write of this holder
// took effect without an answer, or a late write of an earlier holder arrived.
// What it holds is merged, and the segment is written again.
func (g *ledger) reload(ctx context.Context, s *segment, waiters []waiter) bool {
	e, err := g.store.Get(ctx, s.key)
	missing := errors.Is(err, platform.ErrNotFound)
	if err != nil && !missing {
		g.mu.Lock()
		g.requeue(s, waiters)
		g.mu.Unlock()
		return false
	}
	var v *segmentValue
	if !missing {
		if v, err = decodeSegment(e.Value); err != nil {
			g.log.Error("[jobs] segment cannot be read", zap.String("key", s.key), zap.Error(err))
			g.mu.Lock()
			g.requeue(s, waiters)
			g.mu.Unlock()
			return false
		}
	}
	var revived []*record
	g.mu.Lock()
	s.revision = 0
	if !missing {
		s.revision = e.Revision
		for _, r := range v.Jobs {
			if known, ok := g.records[r.ID]; ok {
				known.merge(r)
				continue
			}
			// The job is new to the engine: its writer did not hold the quorum after
			// the write, so it started nothing.
			r.segment, r.accepted = s, false
			s.records[r.ID] = r
			g.records[r.ID] = r
			revived = append(revived, r)
		}
	}
	g.requeue(s, waiters)
	g.mu.Unlock()
	for _, r := range revived {
		g.revived(r)
	}
	return true
}
