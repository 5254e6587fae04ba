package cellsched

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/wait"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

// rosterInterval is the pause between two writes of the roster. It batches the runners that report for
// the first time when a scheduler starts, because each write holds the whole roster.
const rosterInterval = 200 * time.Millisecond

// loadRoster starts the loops of the runners that are in the stored roster but have no entry
// of their own in the store.
func (s *Scheduler) loadRoster() bool {
	item, found, ok := s.readRecord(rosterKey)
	switch {
	case !ok:
		return false
	case found:
		s.applyRoster(item)
	default:
		// No scheduler has started anything yet.
		s.exclusive(func() { s.cell.SetInheritedRoster(nil) })
	}
	return true
}

// readRecord reads a record, and repeats that until the store answers; ok is false if the term ends before.
func (s *Scheduler) readRecord(key string) (item platform.Item, found, ok bool) {
	for {
		ctx, cancel := context.WithTimeout(s.ctx, storeCallTimeout)
		item, err := s.store.Get(ctx, key)
		cancel()
		switch {
		case err == nil:
			return item, true, true
		case platform.StatusOf(err) == http.StatusNotFound:
			return platform.Item{}, false, true
		}
		s.log.Warn("[sched] reading a record failed; retrying", zap.String("key", key), zap.Error(err))
		if !wait.For(s.ctx, retryDelay) {
			return platform.Item{}, false, false
		}
	}
}

func (s *Scheduler) applyRoster(item platform.Item) {
	s.mu.Lock()
	defer s.unlock()
	s.rosterRevision = item.Revision
	var roster []cell.RunnerInfo
	if err := json.Unmarshal(item.Value, &roster); err != nil {
		s.log.Error("[sched] decoding the runner roster failed; waiting for all known runners", zap.Error(err))
		return
	}
	for _, info := range roster {
		if s.runnerLoops[info.ID] != nil {
			continue
		}
		s.cell.SetRunner(time.Now(), info)
		s.cell.UnlistRunner(info.ID)
		s.startRunnerLoop(info)
	}
	s.cell.SetInheritedRoster(roster)
}

// rosterLoop keeps the stored roster equal to the set of known runners.
func (s *Scheduler) rosterLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.rosterChanged:
		}
		for s.storeRoster(s.ctx) && wait.For(s.ctx, rosterInterval) {
		}
	}
}

// storeRoster stores the known runners if the stored roster lacks one or names one that was
// removed. It reports whether it has to be called again. The write is conditional on the
// roster's revision, so that a write that takes effect late cannot restore an old roster.
func (s *Scheduler) storeRoster(ctx context.Context) bool {
	var current bool
	var roster []cell.RunnerInfo
	var revision int64
	s.exclusive(func() {
		current, roster, revision = s.cell.StoredRosterCurrent(), s.cell.Roster(), s.rosterRevision
	})
	if current || s.broken.Load() {
		return false
	}
	value, err := json.Marshal(roster)
	if err != nil {
		s.log.Error("[sched] encoding the runner roster failed", zap.Error(err))
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, s.settings.storeTimeout())
	stored, err := s.store.Commit(callCtx, platform.Txn{
		Expected: []platform.Condition{s.term.Guard, {Key: rosterKey, Revision: revision}},
		Write:    []platform.Write{{Key: rosterKey, Value: value}},
	})
	cancel()
	s.mu.Lock()
	defer s.unlock()
	if err != nil {
		s.handleWriteError(ctx, err)
		return ctx.Err() == nil
	}
	s.rosterRevision = stored
	s.cell.SetStoredRoster(roster)
	s.log.Info("[sched] runner roster stored", zap.Int("runners", len(roster)))
	s.requestDecision()
	return !s.cell.StoredRosterCurrent()
}
