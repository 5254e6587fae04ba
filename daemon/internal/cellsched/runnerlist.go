package cellsched

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

// listRunners reads the entries of the runners and starts a loop for each runner.
func (s *Scheduler) listRunners() (int64, bool) {
	begin := time.Now()
	items, at, ok := s.listAll(platform.RunnerPrefix)
	if !ok {
		return 0, false
	}
	s.listedRunners.Store(int64(len(items)))
	s.awaitRelays()
	s.applyRunners(items, true)
	s.runnersAge.applied(begin)
	return at, true
}

func (s *Scheduler) watchRunners(at int64) {
	s.watchPrefix(platform.RunnerPrefix, at, &s.runnersAge, s.applyRunners)
}

// applyRunners applies changed runner entries. If the items are a full listing, known runners
// that it lacks count as unlisted.
func (s *Scheduler) applyRunners(items []platform.Item, full bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.unlock()
	seen := make(map[string]bool, len(items))
	for _, item := range items {
		id := strings.TrimPrefix(item.Key, platform.RunnerPrefix)
		if item.Deleted {
			if s.runnerLoops[id] != nil {
				s.log.Info("[sched] runner entry deleted", zap.String("runner", id))
			}
			s.cell.UnlistRunner(id)
			continue
		}
		info, err := platform.DecodeRunner(item)
		if err != nil {
			s.log.Warn("[sched] decoding a runner entry failed", zap.String("runner", id), zap.Error(err))
			continue
		}
		seen[id] = true
		restarted := s.cell.SetRunner(now, info)
		if l := s.runnerLoops[id]; l != nil {
			l.setAddr(info.Address)
			if restarted {
				l.reportNow()
			}
			if l.draining != info.Draining {
				l.draining = info.Draining
				s.log.Info("[sched] draining of a runner changed", zap.String("runner", id), zap.Bool("draining", info.Draining))
			}
			continue
		}
		s.startRunnerLoop(info)
	}
	if full {
		for id := range s.runnerLoops {
			if !seen[id] {
				s.cell.UnlistRunner(id)
			}
		}
	}
	signal(s.rosterChanged)
	s.requestDecision()
}

// startRunnerLoop starts the loop of a runner. The caller holds s.mu.
func (s *Scheduler) startRunnerLoop(info cell.RunnerInfo) {
	l := newRunnerLoop(s, info)
	s.runnerLoops[info.ID] = l
	s.spawn(l.run)
}
