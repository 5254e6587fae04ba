package cellsched

import (
	"context"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/wait"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

const (
	// listTimeout covers all pages of a listing from a slow store.
	listTimeout = 10 * time.Second
	// watchWait is how long a watch waits for a change, and watchSlack how much
	// later its answer may come; the store may drop a waiting watch without an answer.
	watchWait  = 600 * time.Millisecond
	watchSlack = 500 * time.Millisecond
	// watchGap gathers changes between two watches; each call is paid for.
	watchGap   = 400 * time.Millisecond
	callTime   = time.Second
	retryPause = 150 * time.Millisecond
)

// load reads the stored jobs and the runners. It returns the revision from which
// new work is watched.
func (s *Scheduler) load() (int64, bool) {
	// Jobs before states: a state is written after its job, so none is missed.
	work, at, ok := s.list(WorkPrefix)
	if !ok {
		return 0, false
	}
	states, _, ok := s.list(statePrefix)
	if !ok {
		return 0, false
	}
	s.restore(work, states)
	// Runners last: an end of a job that is not known yet would be acknowledged
	// without being stored.
	runnerAt, ok := s.listRunners()
	if !ok || !s.loadRoster() {
		return 0, false
	}
	s.spawn(func() { s.watchRunners(runnerAt) })
	return at, true
}

// restore takes up the stored jobs with their states.
func (s *Scheduler) restore(work, states []platform.Item) {
	saved := make(map[string]*cell.SavedJob, len(states))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range states {
		id := strings.TrimPrefix(item.Key, statePrefix)
		s.revisions[id] = item.Revision
		state, err := cell.ParseSavedJob(item.Value)
		if err != nil {
			s.log.Error("[sched] stored state unreadable", zap.String("job", id), zap.Error(err))
			continue
		}
		saved[id] = state
	}
	s.addWork(work, saved)
	s.ready = true
}

// addWork takes jobs and cancel requests into the cell; s.mu is held.
func (s *Scheduler) addWork(items []platform.Item, saved map[string]*cell.SavedJob) {
	now := time.Now()
	for _, item := range items {
		id, ok := strings.CutPrefix(item.Key, jobPrefix)
		if !ok || item.Deleted || s.cell.Job(id) != nil {
			continue
		}
		j, err := DecodeJob(id, item.Value)
		if err != nil {
			s.log.Error("[sched] stored job unreadable", zap.String("job", id), zap.Error(err))
			continue
		}
		s.cell.AddJob(now, j, saved[id])
	}
	for _, item := range items {
		if id, ok := strings.CutPrefix(item.Key, cancelPrefix); ok && !item.Deleted {
			s.cell.Cancel(now, id)
		}
	}
}

func (s *Scheduler) list(prefix string) ([]platform.Item, int64, bool) {
	for {
		ctx, cancel := context.WithTimeout(s.ctx, listTimeout)
		items, at, err := s.store.List(ctx, prefix)
		cancel()
		if err == nil {
			return items, at, true
		}
		s.log.Warn("[sched] listing failed", zap.String("prefix", prefix), zap.Error(err))
		if !wait.For(s.ctx, retryPause) {
			return nil, 0, false
		}
	}
}

// watch follows the changes below a prefix. Where changes are no longer known it
// lists again and passes the whole listing with full set.
func (s *Scheduler) watch(prefix string, at int64, apply func(items []platform.Item, full bool)) {
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, watchWait+watchSlack)
		items, next, err := s.store.Watch(ctx, prefix, at, watchWait)
		cancel()
		switch {
		case err == nil:
			at = next
			if len(items) > 0 {
				apply(items, false)
			}
			wait.For(s.ctx, watchGap)
		case platform.StatusOf(err) == http.StatusGone:
			s.log.Warn("[sched] history dropped; listing again", zap.String("prefix", prefix))
			all, from, ok := s.list(prefix)
			if !ok {
				return
			}
			at = from
			apply(all, true)
		default:
			if s.ctx.Err() == nil {
				s.log.Warn("[sched] watch failed", zap.String("prefix", prefix), zap.Error(err))
			}
			wait.For(s.ctx, retryPause)
		}
	}
}

// watchWork takes up jobs and cancel requests of entry VMs that do not reach this one.
func (s *Scheduler) watchWork(at int64) {
	s.watch(WorkPrefix, at, func(items []platform.Item, _ bool) {
		s.mu.Lock()
		s.addWork(items, nil)
		s.mu.Unlock()
		s.wake()
	})
}
