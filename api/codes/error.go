package codes

import (
	"time"

	"github.com/samber/oops"
)

const (
	keyRetryAfter = "retry_after"
	keyOutcome    = "outcome"
	keyDetails    = "details"
)

// Outcome describes what is known about the execution of a request without an answer.
type Outcome string

// The outcomes of a request without an answer.
const (
	OutcomeNotRun     Outcome = "not_run"
	OutcomeInProgress Outcome = "in_progress"
	// OutcomeIndeterminate means that the request may have run.
	OutcomeIndeterminate Outcome = "unknown"
	// OutcomeRan means that the request ran once and that its answer was not stored.
	OutcomeRan Outcome = "ran"
)

// Option adds data to an error.
type Option func(oops.OopsErrorBuilder) oops.OopsErrorBuilder

// RetryAfter adds the delay after which a retry may succeed.
func RetryAfter(d time.Duration) Option {
	return func(b oops.OopsErrorBuilder) oops.OopsErrorBuilder { return b.With(keyRetryAfter, d) }
}

// WithOutcome adds what is known about the execution of the request.
func WithOutcome(o Outcome) Option {
	return func(b oops.OopsErrorBuilder) oops.OopsErrorBuilder { return b.With(keyOutcome, o) }
}

// WithDetails adds further lines to the message.
func WithDetails(lines ...string) Option {
	return func(b oops.OopsErrorBuilder) oops.OopsErrorBuilder { return b.With(keyDetails, lines) }
}

// Errorf returns an error with code c and a formatted message. It supports %w.
func (c Code) Errorf(format string, args ...any) error {
	return oops.Code(c).Errorf(format, args...)
}

// With returns an error with code c, a message and options.
func (c Code) With(message string, opts ...Option) error {
	b := oops.Code(c)
	for _, opt := range opts {
		b = opt(b)
	}
	return b.New(message)
}

// Of returns the code of err. It returns zero for nil and Internal for an error
// without a code.
func Of(err error) Code {
	if err == nil {
		return 0
	}
	if e, ok := oops.AsOops(err); ok {
		if c, ok := e.Code().(Code); ok {
			return c
		}
	}
	return Internal
}

// RetryAfterOf returns the delay that RetryAfter added to err, or zero.
func RetryAfterOf(err error) time.Duration {
	d, _ := contextValue(err, keyRetryAfter).(time.Duration)
	return d
}

// OutcomeOf returns the outcome that WithOutcome added to err, or the empty string.
func OutcomeOf(err error) Outcome {
	o, _ := contextValue(err, keyOutcome).(Outcome)
	return o
}

// DetailsOf returns the lines that WithDetails added to err, or nil.
func DetailsOf(err error) []string {
	lines, _ := contextValue(err, keyDetails).([]string)
	return lines
}

func contextValue(err error, key string) any {
	e, ok := oops.AsOops(err)
	if !ok {
		return nil
	}
	return e.Context()[key]
}
