package cellsched

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/wait"
	"rhubarbstall.example/platform"
)

// schedulerRetryDelay is the pause after a failed call to the scheduler.
const schedulerRetryDelay = 200 * time.Millisecond

// maxResultReports is how often the result of a call is reported until the scheduler answers. Its tickets
// are of no use for longer.
const maxResultReports = 2

// RunAdvisorCalls makes calls to the advisor for the scheduler until the context ends. It makes
// one call at a time, since the advisor serves the calls of one VM sequentially.
func (c *Client) RunAdvisorCalls(ctx context.Context, advisor *platform.Advisor, log *zap.Logger) {
	var result *AdviceResult
	reports := 0
	for ctx.Err() == nil {
		request, ok, err := c.nextAdviceRequest(ctx, result)
		if err != nil {
			if reports++; result != nil && reports >= maxResultReports {
				log.Warn("[advice] reporting the result of an advisor call to the scheduler failed", zap.Int64("call", result.ID), zap.Error(err))
				result = nil
			}
			wait.For(ctx, schedulerRetryDelay)
			continue
		}
		result, reports = nil, 0
		if ok {
			result = callAdvisor(ctx, advisor, request, log)
		}
	}
}

func callAdvisor(ctx context.Context, advisor *platform.Advisor, request AdviceRequest, log *zap.Logger) *AdviceResult {
	begin := time.Now()
	timeout := time.Duration(request.ExpectedMS)*time.Millisecond + advisorReplySlack
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	approved, err := advisor.RequestApprovals(callCtx, request.Step, request.Runners)
	cancel()
	result := &AdviceResult{ID: request.ID, Approved: approved, TookMS: time.Since(begin).Milliseconds()}
	if err != nil {
		result.Error = err.Error()
		log.Warn("[advice] advisor call failed", zap.String("step", request.Step), zap.Error(err))
	}
	return result
}

// adviceRequestWait is the timeout of one wait for a call to the advisor. Most VMs of a large cell wait
// most of the time. A wait ends when another VM becomes the scheduler.
const adviceRequestWait = 4 * time.Second

// nextAdviceRequest reports the result of the last call to the advisor, if any, and waits for the next one
// that this VM is to make; false if there was none in time. Both take one message, since a cell makes
// hundreds of calls a second.
func (c *Client) nextAdviceRequest(ctx context.Context, result *AdviceResult) (AdviceRequest, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, adviceRequestWait)
	defer cancel()
	if s := c.local.Current(); s != nil {
		if result != nil {
			s.RecordAdviceResult(*result)
		}
		request, ok := s.NextAdviceRequest(ctx, c.vm)
		return request, ok, nil
	}
	// The call to the peer has the full timeout, counted from now, and ignores the end of ctx.
	// The scheduler waits only for queueWaitShare of it, so its answer arrives in time.
	callCtx, cancelOuter := context.WithTimeout(context.WithoutCancel(ctx), adviceRequestWait)
	defer cancelOuter()
	go c.cancelAtNextTerm(callCtx, cancelOuter)
	r, err := callScheduler[adviceArgs, adviceReply](callCtx, c, methodAdvice, &adviceArgs{c.vm, result})
	if err != nil {
		return AdviceRequest{}, false, err
	}
	if result != nil && !r.Recorded {
		if _, err := callScheduler[AdviceResult, empty](ctx, c, methodAdvised, result); err != nil {
			c.log.Warn("[advice] cannot report the result to the scheduler", zap.Error(err))
		}
	}
	return r.Request, r.Assigned, nil
}

// cancelAtNextTerm cancels a call once another VM holds the scheduler's role. The connection to the VM that
// held it may be silent for good.
func (c *Client) cancelAtNextTerm(ctx context.Context, cancel context.CancelFunc) {
	holder := c.elector.Current()
	for wait.For(ctx, holderCheckInterval) {
		if c.elector.Current() != holder {
			cancel()
			return
		}
	}
}

// holderCheckInterval is how often a long call checks whether its scheduler still holds the role.
const holderCheckInterval = 200 * time.Millisecond
