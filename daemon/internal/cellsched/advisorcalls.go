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
