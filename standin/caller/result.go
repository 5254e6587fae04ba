package caller

import (
	"errors"
	"net"
	"time"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/api/oas"
	"rhubarbstall.example/standin/history"
)

// Result is what a caller knows after one submission.
type Result struct {
	// Outcome is one of the outcomes of a history.RequestEnded event.
	Outcome string
	// Code is zero without a coded error.
	Code       codes.Code
	Message    string
	RetryAfter time.Duration
	// WaitMillis is the time from arrival to dispatch, of an answered request.
	WaitMillis float64
	Answer     *oas.Answer
}

// resultOf classifies an error of a submission.
func resultOf(err error) Result {
	var problem *oas.ProblemStatusCode
	if errors.As(err, &problem) {
		p := problem.Response
		r := Result{
			Outcome: outcomeOf(p), Code: codes.Code(p.Code), Message: p.Message,
			RetryAfter: time.Duration(p.RetryAfterMs.Or(0)) * time.Millisecond,
		}
		return r
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Result{Outcome: history.OutcomeUnsent, Message: err.Error()}
	}
	return Result{Outcome: history.OutcomeUnknown, Message: err.Error()}
}

// outcomeOf takes the stated outcome. Without one, only the groups of input
// errors and of limits are known not to have run.
func outcomeOf(p oas.Problem) string {
	if o, ok := p.Outcome.Get(); ok {
		return string(o)
	}
	switch p.Code / 1000 {
	case 1, 2:
		return history.OutcomeNotRun
	}
	return history.OutcomeUnknown
}
