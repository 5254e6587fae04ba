package caller

import (
	"errors"
	"net"
	"time"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/api/oas"
	"rhubarbstall.example/standin/history"
)

// Result is the result of one submission as the caller observed it.
type Result struct {
	// Outcome is one of the history.Outcome constants, or another outcome that the error
	// answer states.
	Outcome string
	// Code is the result code of the error answer, or zero without one.
	Code    codes.Code
	Message string
	// RetryAfter is the retry delay of the error answer, or zero without one.
	RetryAfter time.Duration
	// WaitMillis is the time in ms from arrival to dispatch. Only an answered request
	// has it.
	WaitMillis float64
	// Answer is nil unless the request was answered.
	Answer *oas.Answer
}

// resultOfError classifies the error of a submission. Only a failure to connect
// proves that nothing was sent.
func resultOfError(err error) Result {
	var problem *oas.ProblemStatusCode
	if errors.As(err, &problem) {
		p := problem.Response
		r := Result{
			Outcome: outcomeOfProblem(p), Code: codes.Code(p.Code), Message: p.Message,
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

// outcomeOfProblem returns the outcome that the error answer states. Without one,
// only codes 1xxx (input errors) and 2xxx (limits) prove that the request did not
// run; any other outcome is unknown.
func outcomeOfProblem(p oas.Problem) string {
	if o, ok := p.Outcome.Get(); ok {
		return string(o)
	}
	switch p.Code / 1000 {
	case 1, 2:
		return history.OutcomeNotRun
	}
	return history.OutcomeUnknown
}
