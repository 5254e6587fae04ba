package cellsched

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/relay"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

// renewal is the next call that renews the leases of a runner.
type renewal struct {
	platform.RenewLeaseRequest
	// token is the offset of the call's fencing token within the term.
	token int64
	// allStored tells that all ends which the runner has reported are stored, and barred that they cannot be
	// acknowledged for now.
	allStored, barred bool
}

// renewLease renews the leases of the runner's runs, and applies the report in its answer.
func (l *runnerLoop) renewLease() {
	s := l.s
	next, startEnded := l.nextRenewal(true)
	for deadline := time.Now().Add(maxStartsWait); startEnded != nil; {
		if s.ctx.Err() != nil {
			return
		}
		l.waitFor(startEnded, time.Until(deadline))
		next, startEnded = l.nextRenewal(time.Now().Before(deadline))
	}
	if !s.mayAct() {
		// The term expired because the VM was suspended or waited long for the lock.
		if next.AckedEnd > 0 {
			s.exclusive(func() { l.endAcknowledgement(true) })
		}
		return
	}
	sent := time.Now()
	ctx, cancel := context.WithTimeout(s.ctx, next.Wait+renewalReplySlack)
	l.mu.Lock()
	l.cancelRenewal, l.acknowledging = cancel, next.AckedEnd > 0 && next.Wait == 0
	l.mu.Unlock()
	report, clock, err := s.runners.RenewLease(ctx, l.address(), next.RenewLeaseRequest)
	cancelled := errors.Is(ctx.Err(), context.Canceled)
	cancel()
	l.mu.Lock()
	l.acknowledging = false
	l.mu.Unlock()
	if err != nil {
		if next.AckedEnd > 0 {
			s.exclusive(func() { l.endAcknowledgement(certainlyNotExecuted(err)) })
		}
		if !cancelled {
			l.renewalFailed(err, next.FencingToken)
		}
		return
	}
	now := time.Now()
	report.Fence, report.AckedEnd = next.token, next.AckedEnd
	l.setClock(sent, now, clock)
	if l.failing {
		l.failing = false
		s.log.Info("[sched] renewing the leases of a runner works again", zap.String("runner", l.id))
	}
	var endsStored chan struct{}
	allStored, dirty, needsDecision := next.allStored, false, false
	s.exclusive(func() {
		if !s.cell.HasReported(l.id) {
			// The roster lists a runner from its first report on.
			signal(s.rosterChanged)
		}
		needsDecision = s.cell.HandleReport(now, sent, l.id, report)
		if next.AckedEnd > 0 {
			l.endAcknowledgement(true)
		}
		if _, allStored = s.cell.StoredEnds(l.id); !allStored {
			endsStored = s.endWaiters.subscribe(l.id)
		}
		dirty = s.cell.HasDirty()
	})
	if needsDecision {
		s.requestDecision()
	}
	if dirty {
		signal(s.statesDirty)
	}
	if !allStored {
		l.waitForStoredEnds(endsStored)
	} else if next.barred {
		l.pause(time.Until(sent.Add(s.barredRenewalInterval(now.Sub(sent)))))
	}
}

// nextRenewal returns the next renewal. If it is to acknowledge ends and starts are under way, it returns a channel
// instead that is closed when one of them has ended; with waitForStarts unset, the renewal acknowledges nothing then.
func (l *runnerLoop) nextRenewal(waitForStarts bool) (next renewal, startEnded <-chan struct{}) {
	s := l.s
	s.mu.Lock()
	defer s.unlock()
	_, next.allStored = s.cell.StoredEnds(l.id)
	var confirmed bool
	next.token, confirmed = s.cell.Token(l.id)
	next.FencingToken = s.fencingToken(next.token)
	if l.failing || !confirmed {
		// A runner that does not answer gets no new lease, so its current one lapses. One that has restarted must
		// answer with its fence first: its clock and the numbers of its ends have begun anew.
		s.cell.CancelAcknowledgement(l.id)
		l.noteCallEnded()
		next.allStored = false
		return next, nil
	}
	var state cell.AckState
	switch state, next.AckedEnd = s.cell.BeginAcknowledgement(time.Now(), l.id); {
	case state == cell.AckAfterStarts && waitForStarts:
		return next, l.callEnded
	case state == cell.AckAfterStarts, state == cell.AckBarred:
		s.cell.CancelAcknowledgement(l.id)
		l.noteCallEnded()
		next.barred = true
	default:
	}
	next.LeaseEnd = s.grantLease(l)
	reportDue := l.reportDue.Swap(false)
	if !reportDue && state != cell.AckReady && next.allStored && next.LeaseEnd > 0 {
		longest := renewalWait
		if next.Idle = !s.cell.HasRuns(l.id); next.Idle {
			longest = idleRenewalWait
		}
		next.Wait = min(longest, s.leaseDuration/minRenewalsPerLease)
	}
	return next, nil
}

// noteCallEnded wakes the calls to the runner that wait for others to end. The caller holds s.mu.
func (l *runnerLoop) noteCallEnded() {
	close(l.callEnded)
	l.callEnded = make(chan struct{})
}

// endAcknowledgement records the end of a call that acknowledges ends. The caller holds s.mu.
func (l *runnerLoop) endAcknowledgement(answered bool) {
	l.s.cell.EndAcknowledgement(l.id, answered)
	l.noteCallEnded()
}

// certainlyNotExecuted reports whether a call that failed was not executed and never will be.
func certainlyNotExecuted(err error) bool {
	var refused *platform.RefusedError
	return errors.As(err, &refused) || errors.Is(err, platform.ErrNotSent) || errors.Is(err, relay.ErrNotPassedOn)
}

// barredRenewalInterval returns the interval between renewals on a runner whose ends cannot be acknowledged, if one takes
// the given time there.
func (s *Scheduler) barredRenewalInterval(took time.Duration) time.Duration {
	interval := min(max(minBarredInterval, barredIntervalFactor*took), maxBarredInterval)
	return max(interval, time.Duration(s.listedRunners.Load())*time.Second/barredRenewalsPerSecond)
}
