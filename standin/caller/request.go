package caller

import (
	"context"
	"time"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/api/oas"
	"rhubarbstall.example/standin/history"
	"rhubarbstall.example/standin/runner"
)

const (
	// defaultRetryDelay applies when the answer has no retry delay.
	defaultRetryDelay = 100 * time.Millisecond
	// maxRetryDelay limits the retry delay in an answer, so that tests end in time.
	maxRetryDelay = 300 * time.Millisecond
)

// Request is a request to an upstream. Each request must have a unique body: the
// history check identifies requests by the digest of the body.
type Request struct {
	Kind       string
	Department string
	Body       []byte
	// Key is the idempotency key; empty for none.
	Key      string
	NoRepeat bool
	// Deadline limits the whole request; zero selects the deadline of the kind.
	Deadline time.Duration
}

// message returns the API message of the request.
func (r Request) message() *oas.UpstreamRequest {
	out := &oas.UpstreamRequest{Kind: r.Kind, Department: r.Department, Body: r.Body}
	if r.Key != "" {
		out.IdempotencyKey = oas.NewOptString(r.Key)
	}
	if r.NoRepeat {
		out.NoRepeat = oas.NewOptBool(true)
	}
	if r.Deadline > 0 {
		out.DeadlineMs = oas.NewOptInt64(r.Deadline.Milliseconds())
	}
	return out
}

// Send submits a request once to an entry VM and records the submission and its
// result in the history.
func (c *Caller) Send(ctx context.Context, entry int, r Request) Result {
	e := history.Event{
		Body: runner.Digest(r.Body), Kind: r.Kind, Department: r.Department, NoRepeat: r.NoRepeat,
		Key: r.Key, ExpectedAnswer: runner.Digest(runner.Answer(r.Body)), Owner: c.entries[entry].Name,
	}
	e.Type = history.RequestSent
	c.history.Write(e)
	answer, err := c.clients[entry].SendRequest(ctx, r.message())
	var res Result
	if err != nil {
		res = resultOfError(err)
	} else {
		res = Result{Outcome: history.OutcomeAnswered, WaitMillis: answer.WaitMs, Answer: answer}
		e.Answer, e.RequestID = runner.Digest(answer.Body), answer.RequestID
	}
	e.Type = history.RequestEnded
	e.Outcome, e.Code, e.Reason, e.WaitMillis = res.Outcome, int(res.Code), res.Message, res.WaitMillis
	c.history.Write(e)
	return res
}

// SendUntilSettled submits a request to the entry VMs in turn until it is answered,
// the input is refused, or ctx is done. For a request marked no_repeat, an answer
// that states an unknown outcome is final as well. Such a request needs an
// idempotency key, so that a resubmission doesn't run it a second time.
func (c *Caller) SendUntilSettled(ctx context.Context, r Request) Result {
	for {
		res := c.Send(ctx, c.NextEntry(), r)
		switch {
		case res.Outcome == history.OutcomeAnswered,
			res.Code == codes.OutcomeUnknown && r.NoRepeat,
			res.Code/1000 == 1:
			return res
		}
		if !waitBeforeRetry(ctx, res.RetryAfter) {
			return res
		}
	}
}

// waitBeforeRetry waits for the delay d, or the default delay if d is not positive.
// It returns false if ctx is done first.
func waitBeforeRetry(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		d = defaultRetryDelay
	}
	select {
	case <-time.After(min(d, maxRetryDelay)):
		return true
	case <-ctx.Done():
		return false
	}
}
