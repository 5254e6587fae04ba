package router

import "rhubarbstall.example/api/codes"

// Outcome is the result of one attempt to run a request, as far as it is known.
type Outcome uint8

// The outcomes of an attempt.
const (
	// NotRun means that no byte was sent, or that the receiver reported that it did
	// not run the request.
	NotRun Outcome = iota + 1
	// Unknown means that bytes may have been sent and no valid answer was received.
	Unknown
	// Answered means that a complete answer that belongs to the request was received.
	Answered
)

// String returns the outcome for logs and metrics.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not_run"
	case Answered:
		return "answered"
	default:
		return "unknown"
	}
}

// code returns the outcome that is reported to the caller of a request without
// an answer.
func (o Outcome) code() codes.Outcome {
	if o == NotRun {
		return codes.OutcomeNotRun
	}
	return codes.OutcomeIndeterminate
}

// evidence is what is known about one attempt, from which outcome derives its
// Outcome.
type evidence struct {
	// mayHaveSent is set if a byte may have been sent to a runner, by this entry VM
	// or by the one to which the request was forwarded.
	mayHaveSent bool
	// reportedNotRun is set if the receiver reported that it did not run the request.
	reportedNotRun bool
	// validAnswer is set if the answer is complete and belongs to the request.
	validAnswer bool
}

// outcome returns the outcome of an attempt. All attempts are classified here:
// without proof that the request was answered or was not run, the outcome is
// Unknown.
func (e evidence) outcome() Outcome {
	switch {
	case e.validAnswer:
		return Answered
	case !e.mayHaveSent, e.reportedNotRun:
		return NotRun
	default:
		return Unknown
	}
}

// result describes the end of one attempt.
type result struct {
	evidence
	answer Answer
	// err is the reason why there is no answer; nil if there is one.
	err error
	// runnerLeaving is set if the runner announced that it takes no new work.
	runnerLeaving bool
	// mayStillRun is set if the runner may still be running the request: it was sent
	// and no answer began.
	mayStillRun bool
	// connectFailed is set if no connection to the runner could be made.
	connectFailed bool
}
