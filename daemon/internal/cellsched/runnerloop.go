package cellsched

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/relay"
	"rhubarbstall.example/daemon/internal/wait"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

const (
	// renewalWait is how long a lease renewal, which is a long poll, waits for a run to end.
	// It is also the interval between renewals on a runner on which no run ends.
	renewalWait = 1000 * time.Millisecond
	// idleRenewalWait is the same for a runner without runs, whose reports tell only that it is there. It
	// is the longest wait that runners accept.
	idleRenewalWait = 2000 * time.Millisecond
	// minRenewalsPerLease is the least number of renewals within the duration of a lease, so
	// that the lease survives the loss of one answer.
	minRenewalsPerLease = 3
	// renewalReplySlack is added to renewalWait for the answer to arrive.
	renewalReplySlack = 800 * time.Millisecond
	// renewalRetryDelay is the pause after a failed renewal, and firstRetryDelay that after the first one in a row:
	// the connection may have broken because the runner has restarted, and until the next call it executes late
	// calls that were meant for its previous incarnation.
	renewalRetryDelay = 250 * time.Millisecond
	firstRetryDelay   = 10 * time.Millisecond
	// maxStoredEndsWait bounds the pause between renewals while some reported ends of runs are
	// not stored yet.
	maxStoredEndsWait = 500 * time.Millisecond
	// maxStartsWait bounds the wait of an acknowledgement for the answers to starts that are under way.
	maxStartsWait = orderTimeout
	// minBarredInterval and maxBarredInterval bound the interval between the renewals on a runner whose listed ends cannot
	// be acknowledged for now: it answers them without waiting. barredIntervalFactor times the duration of a call keeps
	// a busy VM, whose calls take long, from spending its processor on them, and barredRenewalsPerSecond bounds
	// them over all runners.
	minBarredInterval       = 250 * time.Millisecond
	maxBarredInterval       = time.Second
	barredIntervalFactor    = 20
	barredRenewalsPerSecond = 1000
)

// runnerLoop communicates with one runner: it renews the leases of the runner's runs and
// receives the runner's reports.
type runnerLoop struct {
	s  *Scheduler
	id string
	// draining is the last known value of the runner's entry; the scheduler's lock guards it.
	draining bool
	// callEnded is closed and replaced when a start or an acknowledgement has ended; the scheduler's lock guards it.
	callEnded chan struct{}

	mu   sync.Mutex
	addr string
	// clock is the last reading of the runner's clock, which arrived at clockReadAt in the answer to a call of clockCalledAt.
	clock                      time.Duration
	clockCalledAt, clockReadAt time.Time
	// cancelRenewal cancels the renewal in progress. acknowledging tells that it acknowledges ends, and so ends soon.
	cancelRenewal context.CancelFunc
	acknowledging bool
	// failing tells whether the last renewal failed. Only the goroutine of run uses it.
	failing bool
	// wake ends a wait between two renewals.
	wake chan struct{}
	// reportDue tells that the next renewal must not wait for a run to end, because its report is needed.
	reportDue atomic.Bool
}

func newRunnerLoop(s *Scheduler, info cell.RunnerInfo) *runnerLoop {
	return &runnerLoop{s: s, id: info.ID, addr: info.Address, draining: info.Draining, wake: make(chan struct{}, 1), callEnded: make(chan struct{})}
}

func (l *runnerLoop) setAddr(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addr = addr
}

func (l *runnerLoop) address() platform.RunnerAddr {
	l.mu.Lock()
	defer l.mu.Unlock()
	return platform.RunnerAddr{ID: l.id, Addr: l.addr}
}

// leaseEnd returns the end of a lease that begins now, by the runner's clock. It returns 0 if
// the runner's clock is not known yet.
func (l *runnerLoop) leaseEnd() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clockReadAt.IsZero() {
		return 0
	}
	return l.clock + time.Since(l.clockReadAt) + l.s.leaseDuration
}

// grantLease returns the end of the lease that an order carries, and extends the time until
// which the cell expects runs on the runner. It extends that time last: if the process is delayed
// between the two steps, the time may be too late but never too early. The caller holds s.mu.
func (s *Scheduler) grantLease(l *runnerLoop) time.Duration {
	end := l.leaseEnd()
	s.cell.RenewLease(time.Now(), l.id)
	return end
}

func (l *runnerLoop) setClock(calledAt, readAt time.Time, c platform.RunnerClock) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clock, l.clockCalledAt, l.clockReadAt = c.Reading, calledAt, readAt
}

// clockSlack allows for a runner clock that is up to 2% slow over the longest time between two
// readings.
const clockSlack = 100 * time.Millisecond

// identifies reports whether the clock reading in an answer that arrives now shows that it comes from the incarnation whose
// clock was read last: one that began after that call was sent cannot have run for so long.
func (l *runnerLoop) identifies(now time.Time, c platform.RunnerClock) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.clockCalledAt.IsZero() && c.Reading > now.Sub(l.clockCalledAt)
}

// detectRestart detects from the clock reading in the answer to a call whether the runner has
// restarted, because the clock of a restarted runner begins at 0. Answers can arrive out of order:
// the reading was taken after the call was sent, and so is at most that much older than the last
// one.
func (l *runnerLoop) detectRestart(sentAt time.Time, c platform.RunnerClock) {
	l.mu.Lock()
	wentBack := c.Reading < l.clock-max(0, l.clockReadAt.Sub(sentAt))-clockSlack
	l.mu.Unlock()
	if wentBack {
		l.s.exclusive(func() { l.s.cell.RecordRestart(time.Now(), l.id) })
		l.reportNow()
	}
}

func (l *runnerLoop) run() {
	for l.s.ctx.Err() == nil {
		if !l.s.mayAct() {
			wait.For(l.s.ctx, renewalRetryDelay)
			continue
		}
		if l.removeIfGone() {
			return
		}
		l.renewLease()
	}
}

// removeIfGone removes a runner that no longer exists, and reports whether it did so.
func (l *runnerLoop) removeIfGone() bool {
	s := l.s
	s.mu.Lock()
	defer s.unlock()
	if !s.cell.CanRemoveRunner(time.Now(), l.id) {
		return false
	}
	s.cell.RemoveRunner(l.id)
	delete(s.runnerLoops, l.id)
	l.noteCallEnded()
	signal(s.rosterChanged)
	s.log.Info("[sched] runner removed", zap.String("runner", l.id))
	return true
}

// waitForStoredEnds waits until every end that the runner reported is stored, at most
// maxStoredEndsWait: until then it would repeat these ends in each report. It returns early if a report is
// needed all the same.
func (l *runnerLoop) waitForStoredEnds(stored <-chan struct{}) { l.waitFor(stored, maxStoredEndsWait) }

// pause waits for some time, or until a report is needed.
func (l *runnerLoop) pause(d time.Duration) { l.waitFor(nil, d) }

// waitFor waits until the channel is closed, a report is needed, or some time has passed.
func (l *runnerLoop) waitFor(closed <-chan struct{}, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-l.s.ctx.Done():
	case <-closed:
	case <-l.wake:
	case <-t.C:
	}
}

func (l *runnerLoop) renewalFailed(err error, token int64) {
	s := l.s
	if s.ctx.Err() != nil {
		return
	}
	if relay.IsLost(err) {
		// That tells nothing about the runner, which another relay may reach.
		s.log.Debug("[sched] renewal got no answer from its relay", zap.String("runner", l.id), zap.Error(err))
		wait.For(s.ctx, relayRetryDelay)
		return
	}
	if s.refusedByFence(err, l.id, token) {
		// The runner has seen the fence that began meanwhile; the next renewal carries it.
		return
	}
	delay := renewalRetryDelay
	if !l.failing {
		l.failing, delay = true, firstRetryDelay
		s.log.Warn("[sched] renewing the leases of a runner failed", zap.String("runner", l.id), zap.Error(err))
	}
	var refused *platform.RefusedError
	s.exclusive(func() {
		if errors.As(err, &refused) && refused.Reason == platform.RefusedInstance {
			s.cell.MarkReplaced(time.Now(), l.id)
		} else {
			s.cell.MarkUnreachable(l.id)
		}
	})
	wait.For(s.ctx, delay)
}

// reportNow makes the loop ask the runner for a report at once, because its connection broke or it has
// restarted. On a busy VM, answers that are only late are many; for these, renewNow costs less.
func (l *runnerLoop) reportNow() {
	l.reportDue.Store(true)
	signal(l.wake)
	l.renewNow()
}

// renewNow cancels the renewal in progress, so that the loop starts the next one at once. One that acknowledges ends
// is not cancelled, since it would be without an answer; it does not wait, and the next one will not either.
func (l *runnerLoop) renewNow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.acknowledging:
		l.reportDue.Store(true)
	case l.cancelRenewal != nil:
		l.cancelRenewal()
	}
}
