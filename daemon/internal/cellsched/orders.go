package cellsched

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/relay"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

// queueOrders queues the orders of a decision.
func (s *Scheduler) queueOrders(d *cell.Decisions) {
	for _, st := range d.Stops {
		if !s.orders.beginStop(st.Run) {
			s.metrics.countStop(string(stopRepeated))
			continue
		}
		s.countStopOrdered()
		s.orders.addSmall(func(bytes int) {
			s.sendStop(st.Run, bytes)
			s.orders.endStop(st.Run)
		})
	}
	for _, p := range d.Paces {
		s.orders.addSmall(func(bytes int) { s.sendPace(p, bytes) })
	}
	for _, st := range d.Starts {
		s.orders.addStart(len(st.Payload)+len(st.Checkpoint)+len(st.Ticket), func(bytes int) { s.sendStart(st, bytes) })
	}
	s.sendQueuedOrders()
}

// sendQueuedOrders sends the queued orders for which the send window has room.
func (s *Scheduler) sendQueuedOrders() {
	for _, o := range s.orders.take(time.Now()) {
		select {
		case s.idleSenders <- o:
		default:
			go s.sendOrders(o)
		}
	}
}

// senderIdleTimeout is how long a goroutine that sends orders waits for the next one.
const senderIdleTimeout = time.Second

// sendOrders sends an order, and further ones as long as there are any. The stack of a goroutine
// grows several times within its first call to a runner, which a new goroutine for each order would
// repeat thousands of times a second.
func (s *Scheduler) sendOrders(o queuedOrder) {
	idle := time.NewTimer(senderIdleTimeout)
	defer idle.Stop()
	for {
		o.send()
		idle.Reset(senderIdleTimeout)
		select {
		case o = <-s.idleSenders:
		case <-idle.C:
			return
		case <-s.ctx.Done():
			return
		}
	}
}

// finishOrder returns the room of an order in the send window.
func (s *Scheduler) finishOrder(bytes int, answered bool, took time.Duration) {
	if s.orders.finish(time.Now(), bytes, answered, took) {
		s.requestDecision()
	}
	s.sendQueuedOrders()
}

// callRunner makes a call that carries an order of some bytes. If there is no answer in time, it
// calls overdue and waits on, as long again: a late answer still tells what has become of the
// order, and the connection can be kept. Without overdue it gives up instead, so that the order can
// be repeated soon.
func (s *Scheduler) callRunner(bytes int, overdue func(), call func(ctx context.Context) error) error {
	timeout := s.orders.timeout()
	limit := timeout
	if overdue != nil {
		limit *= lateAnswerFactor
	}
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	sent := time.Now()
	timer := time.AfterFunc(timeout, func() {
		s.orders.timedOut(time.Now())
		if overdue != nil {
			overdue()
		}
	})
	err := call(ctx)
	timer.Stop()
	var refused *platform.RefusedError
	s.finishOrder(bytes, err == nil || errors.As(err, &refused), time.Since(sent))
	return err
}

// sendStart sends a start order and records its outcome.
func (s *Scheduler) sendStart(st cell.StartOrder, bytes int) {
	run := st.Run
	l, prepared, leaseEnd := s.prepareStart(st)
	staleReason := prepared.StaleReason
	if staleReason == "" && (l == nil || s.ctx.Err() != nil || !s.mayAct()) {
		staleReason = "gone"
	}
	if staleReason != "" {
		s.recordStart(run, prepared.Attempt, cell.StartRefused, staleReason, nil)
		s.countStartOutcome(run, cell.StartRefused, staleReason)
		s.finishOrder(bytes, false, 0)
		return
	}
	sent := time.Now()
	var clock platform.RunnerClock
	var overdue atomic.Bool
	token := s.fencingToken(prepared.Token)
	err := s.callRunner(bytes, func() {
		overdue.Store(true)
		s.loadCounts.startsLate.Add(1)
		s.recordStart(run, prepared.Attempt, cell.StartUnknown, "", errOverdue)
		l.renewNow()
	}, func(ctx context.Context) (err error) {
		clock, err = s.runners.Start(ctx, l.address(), platform.StartOrder{
			Task: run.Task, Execution: run.Execution, Payload: st.Payload, Checkpoint: st.Checkpoint,
			Ticket: st.Ticket, LeaseEnd: leaseEnd, FencingToken: token,
		})
		return err
	})
	outcome, reason := startOutcome(err)
	switch outcome {
	case cell.StartOK:
		l.detectRestart(sent, clock)
		if !l.identifies(time.Now(), clock) {
			s.exclusive(func() { s.cell.RecordUnidentifiedAnswer(time.Now(), run, prepared.Attempt) })
		}
	case cell.StartRefused:
		s.refusedByFence(err, run.Runner, token)
	default:
	}
	s.countStartOutcome(run, outcome, reason)
	if outcome == cell.StartUnknown && overdue.Load() {
		return
	}
	s.recordStart(run, prepared.Attempt, outcome, reason, err)
	if outcome == cell.StartUnknown {
		l.reportNow()
	}
}

// startOutcome returns the outcome of a start order from the error of its call, and the reason of a
// refusal.
func startOutcome(err error) (outcome cell.StartOutcome, reason string) {
	var refused *platform.RefusedError
	switch {
	case err == nil:
		return cell.StartOK, ""
	case errors.As(err, &refused):
		return cell.StartRefused, refused.Reason
	case errors.Is(err, relay.ErrNotPassedOn):
		return cell.StartRefused, cell.StaleLate
	case errors.Is(err, platform.ErrNotSent):
		return cell.StartRefused, "unreachable"
	default:
		return cell.StartUnknown, ""
	}
}

// errOverdue is logged for an order whose answer is late; it may still arrive.
var errOverdue = errors.New("no answer in time")

// recordStart records and logs what is known of a start order. After an outcome that is unknown,
// because the answer is late, it may be called again with the outcome of the late answer.
func (s *Scheduler) recordStart(run *cell.Run, attempt int, outcome cell.StartOutcome, reason string, err error) {
	s.exclusive(func() {
		s.cell.RecordAttempt(time.Now(), run, attempt, outcome, reason)
		if l := s.runnerLoops[run.Runner]; l != nil {
			l.noteCallEnded()
		}
	})
	if outcome == cell.StartOK {
		s.log.Info("[sched] run started", zap.Stringer("task", run.Task), zap.Int64("execution", run.Execution), zap.String("runner", run.Runner))
		return
	}
	s.log.Warn("[sched] run not started", zap.Stringer("task", run.Task), zap.Int64("execution", run.Execution),
		zap.String("runner", run.Runner), zap.Bool("unknown", outcome == cell.StartUnknown), zap.String("reason", reason), zap.Error(err))
	s.requestDecision()
}

// runnerLoop returns the loop of a runner, or nil if the runner was removed.
func (s *Scheduler) runnerLoop(id string) *runnerLoop {
	s.mu.Lock()
	defer s.unlock()
	return s.runnerLoops[id]
}

// sendStop sends a stop order. The cell repeats an order that was not acknowledged.
func (s *Scheduler) sendStop(run *cell.Run, bytes int) {
	l := s.runnerLoop(run.Runner)
	if l == nil || !s.mayAct() {
		// A scheduler of a later term may have adopted the run. If this term goes on, the cell
		// repeats the order.
		s.log.Info("[sched] stop order not sent", zap.Stringer("task", run.Task), zap.Int64("execution", run.Execution),
			zap.String("runner", run.Runner), zap.Bool("runner_known", l != nil))
		s.countStopOutcome(stopUnanswered)
		s.finishOrder(bytes, false, 0)
		return
	}
	token := s.currentToken(run.Runner)
	err := s.callRunner(bytes, nil, func(ctx context.Context) error {
		_, err := s.runners.Stop(ctx, l.address(), run.Task, run.Execution, token)
		return err
	})
	if err != nil {
		s.countStopOutcome(stopUnanswered)
		s.refusedByFence(err, run.Runner, token)
		s.log.Warn("[sched] stop order failed", zap.Stringer("task", run.Task), zap.Int64("execution", run.Execution),
			zap.String("runner", run.Runner), zap.Error(err))
		return
	}
	s.countStopOutcome(stopAcked)
	s.log.Info("[sched] run stopped", zap.Stringer("task", run.Task), zap.Int64("execution", run.Execution), zap.String("runner", run.Runner))
	confirmed := false
	s.recordAck(run.Runner, token, func() {
		s.cell.RecordStopAck(time.Now(), run)
		confirmed = run.Confirmed()
	})
	if !confirmed {
		// The run may never have begun, and then the runner reports no end of it. A renewal
		// now shows whether the runner still has the run.
		l.renewNow()
	}
}

// sendPace sends an order that changes the pace of a run, in percent of its full speed.
func (s *Scheduler) sendPace(p cell.PaceOrder, bytes int) {
	run := p.Run
	l := s.runnerLoop(run.Runner)
	if l == nil || !s.mayAct() {
		s.finishOrder(bytes, false, 0)
		return
	}
	token := s.currentToken(run.Runner)
	err := s.callRunner(bytes, nil, func(ctx context.Context) error {
		_, err := s.runners.SetSpeed(ctx, l.address(), run.Task, run.Execution, token, p.Percent)
		return err
	})
	s.log.Info("[sched] pace order finished", zap.Stringer("task", run.Task), zap.Int64("execution", run.Execution),
		zap.String("runner", run.Runner), zap.Int("percent", p.Percent), zap.Error(err))
	if err != nil {
		s.refusedByFence(err, run.Runner, token)
		return
	}
	s.recordAck(run.Runner, token, func() { s.cell.RecordPaceAck(run, p.Percent) })
}

func (s *Scheduler) logEvents(events []cell.Event) {
	for _, e := range events {
		s.metrics.recordEvent(e)
		fields := []zap.Field{}
		if e.Task.Job != "" {
			fields = append(fields, zap.String("job", e.Task.Job), zap.Stringer("task", e.Task), zap.Int64("execution", e.Execution))
		}
		if e.Runner != "" {
			fields = append(fields, zap.String("runner", e.Runner))
		}
		if e.Detail != "" {
			fields = append(fields, zap.String("detail", e.Detail))
		}
		if e.Count > 0 {
			fields = append(fields, zap.Int("count", e.Count))
		}
		if e.Age > 0 {
			fields = append(fields, zap.Duration("age", e.Age))
		}
		if e.Speed > 0 {
			fields = append(fields, zap.Float64("speed", e.Speed))
		}
		if e.UnansweredStarts > 0 || e.UnansweredAck > 0 {
			fields = append(fields, zap.Int("unanswered_starts", e.UnansweredStarts), zap.Int64("unanswered_ack", e.UnansweredAck))
		}
		if a := e.Account; a != nil {
			fields = append(fields, zap.String("account", a.Name), zap.Int64("configuration", a.Version), zap.Object("used", amounts(a.Used)), zap.Object("limit", amounts(a.Limit)))
		}
		if e.Class != "" {
			fields = append(fields, zap.String("class", e.Class), zap.String("beside", e.Beside), zap.Float64("slowdown", e.Slowdown))
		}
		s.log.Info("[sched] "+string(e.Kind), fields...)
	}
}
