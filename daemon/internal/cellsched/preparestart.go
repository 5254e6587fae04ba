package cellsched

import (
	"time"

	"rhubarbstall.example/sched/cell"
)

// prepareStart returns the loop of the order's runner, or nil if the runner was removed, the prepared order, and the end of
// the lease that it grants; a stale order grants none. It waits while ends of the runner are being acknowledged.
func (s *Scheduler) prepareStart(st cell.StartOrder) (*runnerLoop, cell.PreparedStart, time.Duration) {
	for {
		l, prepared, leaseEnd, ackEnded := s.tryPrepareStart(st)
		if !prepared.Blocked {
			return l, prepared, leaseEnd
		}
		select {
		case <-ackEnded:
		case <-s.ctx.Done():
			return l, cell.PreparedStart{StaleReason: cell.StaleLate}, 0
		}
	}
}

// tryPrepareStart does the work of prepareStart. If the order has to wait, ackEnded is closed when it may be tried again.
func (s *Scheduler) tryPrepareStart(st cell.StartOrder) (l *runnerLoop, prepared cell.PreparedStart, leaseEnd time.Duration, ackEnded <-chan struct{}) {
	s.mu.Lock()
	defer s.unlock()
	l = s.runnerLoops[st.Run.Runner]
	now := time.Now()
	if l == nil {
		return nil, cell.PreparedStart{StaleReason: s.cell.StaleStartReason(now, st)}, 0, nil
	}
	if s.runnersOutdated(now) {
		return l, cell.PreparedStart{StaleReason: cell.StaleLate}, 0, nil
	}
	prepared = s.cell.PrepareStart(now, st)
	switch {
	case prepared.Blocked:
		return l, prepared, 0, l.callEnded
	case prepared.StaleReason != "":
		return l, prepared, 0, nil
	}
	signal(s.startsChanged)
	return l, prepared, s.grantLease(l), nil
}
