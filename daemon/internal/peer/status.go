package peer

import (
	"time"

	"rhubarbstall.example/api/codes"
)

// Status is the wire format of an error with a result code. A zero Code means success.
type Status struct {
	Code       codes.Code    `json:"code,omitempty"`
	Message    string        `json:"message,omitempty"`
	Outcome    codes.Outcome `json:"outcome,omitempty"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	Details    []string      `json:"details,omitempty"`
}

// statusOf converts an error to its wire format.
func statusOf(err error) Status {
	if err == nil {
		return Status{}
	}
	return Status{
		Code:       codes.Of(err),
		Message:    err.Error(),
		Outcome:    codes.OutcomeOf(err),
		RetryAfter: codes.RetryAfterOf(err),
		Details:    codes.DetailsOf(err),
	}
}

// err converts a status back to an error, or nil for success.
func (s Status) err() error {
	if s.Code == 0 {
		return nil
	}
	var opts []codes.Option
	if s.Outcome != "" {
		opts = append(opts, codes.WithOutcome(s.Outcome))
	}
	if s.RetryAfter > 0 {
		opts = append(opts, codes.RetryAfter(s.RetryAfter))
	}
	if len(s.Details) > 0 {
		opts = append(opts, codes.WithDetails(s.Details...))
	}
	return s.Code.With(s.Message, opts...)
}
