package cellsched

import (
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/wait"
	"rhubarbstall.example/sched/cell"
)

// decideLoop makes decisions when something changed, and at least every tickInterval.
func (s *Scheduler) decideLoop() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.decisionNeeded:
		case <-tick.C:
		}
		begin := time.Now()
		s.decide()
		if !wait.For(s.ctx, decisionPause(time.Since(begin))) {
			return
		}
	}
}

// decisionPause returns the pause after a decision that took some time.
func decisionPause(took time.Duration) time.Duration {
	return min(max(minDecisionPause, time.Duration(float64(took)*(1-decisionShare)/decisionShare)), maxDecisionPause)
}

// runnersOutdated reports whether the known entries of runners are so old that a runner may have
// been draining for too long to be given work. Starts then wait until the entries are current, which
// also leaves processor time for reading them.
//
// While the store cannot be reached the entries cannot become current, so starts do not wait. A watch
// call without an answer does not mean that: on a busy VM the answer may only be late.
func (s *Scheduler) runnersOutdated(now time.Time) bool {
	if s.settings.DrainTimeout <= 0 {
		return false
	}
	if s.settings.StoreUnreachable != nil && s.settings.StoreUnreachable() {
		return false
	}
	outdated, age := s.runnersAge.exceeds(now, max(time.Duration((1-drainMarginShare)*float64(s.settings.DrainTimeout)), minRunnersAge))
	if s.runnersWereOutdated.Swap(outdated) != outdated {
		s.log.Warn("[sched] age of the runners' entries changed", zap.Bool("outdated", outdated), zap.Duration("age", age))
	}
	return outdated
}

func (s *Scheduler) decide() {
	if !s.mayAct() {
		// The next scheduler may already have renewed leases or ended runs, so this one would
		// wrongly treat leases as lapsed.
		return
	}
	now := time.Now()
	if s.relays != nil {
		// With relays, an order waits until the next batch is sent, and its answer until the next reply.
		s.orders.setBatching(2 * s.relays.Gather())
	}
	maxStarts, paused := s.orders.maxStarts(), s.runnersOutdated(now)
	var d cell.Decisions
	var events []cell.Event
	dirty := false
	s.exclusive(func() {
		begin := time.Now()
		s.cell.SetMaxStarts(maxStarts)
		if paused {
			s.cell.PauseStarts()
		}
		s.cell.Tick(now)
		d = s.cell.Decide(now, now.Round(0))
		s.recordDecision(begin, &d)
		events = s.cell.TakeEvents()
		dirty = s.cell.HasDirty()
		if s.cell.UnsettledVersion() != s.startsVersion {
			signal(s.startsChanged)
		}
	})
	if s.broken.Load() {
		return
	}
	s.logEvents(events)
	s.queueOrders(&d)
	for _, call := range d.Advice {
		s.adviceQueue.add(call)
	}
	if dirty {
		signal(s.statesDirty)
	}
}
