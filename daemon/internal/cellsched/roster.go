package cellsched

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

// loadRoster begins a conversation with the runners that the store names and that
// have no entry of their own.
func (s *Scheduler) loadRoster() bool {
	for {
		ctx, cancel := context.WithTimeout(s.ctx, callTime)
		item, err := s.store.Get(ctx, rosterKey)
		cancel()
		switch {
		case err == nil:
			s.applyRoster(item.Value)
			return true
		case platform.StatusOf(err) == http.StatusNotFound:
			return true
		}
		s.log.Warn("[sched] roster not read", zap.Error(err))
		if !pause(s.ctx, retryPause) {
			return false
		}
	}
}

func (s *Scheduler) applyRoster(value []byte) {
	var roster []cell.RunnerInfo
	if err := json.Unmarshal(value, &roster); err != nil {
		s.log.Error("[sched] roster unreadable", zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, info := range roster {
		if s.loops[info.ID] != nil {
			continue
		}
		s.cell.SetRunner(time.Now(), info)
		s.cell.UnlistRunner(info.ID)
		s.converse(info)
	}
	s.cell.Recorded(roster)
}

// recordRoster stores the known runners if the store lacks one; it reports whether
// it is to be tried again.
func (s *Scheduler) recordRoster(ctx context.Context) bool {
	s.mu.Lock()
	lacking := s.cell.Unrecorded()
	roster := s.cell.Roster()
	s.mu.Unlock()
	if !lacking {
		return false
	}
	value, err := json.Marshal(roster)
	if err != nil {
		s.log.Error("[sched] roster not encoded", zap.Error(err))
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, s.set.storeLimit())
	_, err = s.store.Commit(callCtx, platform.Txn{
		Expected: []platform.Condition{s.term.Guard},
		Write:    []platform.Write{{Key: rosterKey, Value: value}},
	})
	cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.persistFailed(ctx, err)
		return true
	}
	s.cell.Recorded(roster)
	s.log.Info("[sched] roster stored", zap.Int("runners", len(roster)))
	s.wake()
	return false
}
