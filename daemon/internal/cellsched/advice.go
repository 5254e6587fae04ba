package cellsched

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/sched/cell"
)

// advisorReplySlack is how much longer than expected a call to the advisor may take.
const advisorReplySlack = 1500 * time.Millisecond

// AdviceRequest describes a call to the advisor that an entry VM makes for the scheduler.
type AdviceRequest struct {
	ID      int64    `json:"id"`
	Step    string   `json:"step"`
	Runners []string `json:"runners"`
	// ExpectedMS is the expected duration of the call in ms.
	ExpectedMS int64 `json:"expected_ms"`
}

// AdviceResult is the result of an AdviceRequest.
type AdviceResult struct {
	ID       int64           `json:"id"`
	Approved []cell.Approval `json:"approved"`
	// TookMS is the duration of the call in ms.
	TookMS int64  `json:"took_ms"`
	Error  string `json:"error,omitempty"`
}

// NextAdviceRequest waits for a call to the advisor and assigns it to a VM; false if there
// was none in time. If the VM does not report the result in time, the call counts as failed.
func (s *Scheduler) NextAdviceRequest(ctx context.Context, vm string) (AdviceRequest, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var term context.Context
	s.exclusive(func() { term = s.ctx })
	if term == nil {
		return AdviceRequest{}, false
	}
	// The wait ends with the term, so that the VM can ask the next scheduler.
	defer context.AfterFunc(term, cancel)()
	id, call, ok := s.adviceQueue.waitForCall(ctx, vm)
	for ok && !s.stillNeeded(&call) {
		s.RecordAdviceResult(AdviceResult{ID: id, Error: "not made: the scheduler no longer needs the result"})
		id, call, ok = s.adviceQueue.waitForCall(ctx, vm)
	}
	if !ok {
		return AdviceRequest{}, false
	}
	time.AfterFunc(call.ExpectedDuration+2*advisorReplySlack, func() {
		s.RecordAdviceResult(AdviceResult{ID: id, Error: "no result in time from VM " + vm})
	})
	return AdviceRequest{ID: id, Step: call.Group, Runners: call.Runners, ExpectedMS: call.ExpectedDuration.Milliseconds()}, true
}

func (s *Scheduler) stillNeeded(call *cell.AdviceCall) bool {
	s.mu.Lock()
	defer s.unlock()
	return s.cell.AdviceStillNeeded(time.Now(), call)
}

// RecordAdviceResult records the result of a call to the advisor. It ignores a result of a call
// that is not assigned, for example one that already counts as failed.
func (s *Scheduler) RecordAdviceResult(result AdviceResult) {
	call, ok := s.adviceQueue.complete(result.ID)
	if !ok {
		return
	}
	now := time.Now()
	sent := now.Add(-time.Duration(result.TookMS) * time.Millisecond)
	var err error
	if result.Error != "" {
		err = errors.New(result.Error)
	}
	s.exclusive(func() { s.cell.RecordAdvice(now, call, sent, result.Approved, err) })
	s.metrics.adviceWait.Record(context.Background(), now.Sub(call.CreatedAt).Seconds())
	s.log.Info("[sched] advisor call finished", zap.String("step", call.Group), zap.Int("named", len(call.Runners)), zap.Int("approved", len(result.Approved)),
		zap.Int64("took_ms", result.TookMS), zap.Duration("waited", now.Sub(call.CreatedAt)), zap.String("error", result.Error))
	s.requestDecision()
}
