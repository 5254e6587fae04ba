package admission

import (
	"fmt"
	"time"
)

// RefusalReason is the reason why a request was refused.
type RefusalReason uint8

// The reasons for a refusal.
const (
	// TooLate means that the request is not expected to start in time.
	TooLate RefusalReason = iota + 1
	// QueueFull means that a limit on queued requests or their bytes is reached.
	QueueFull
	// TooManyClasses means that the limit on classes is reached and none is idle.
	TooManyClasses
)

// Refusal is the error for a request that was not admitted, and so not run.
type Refusal struct {
	Reason RefusalReason
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	switch r.Reason {
	case QueueFull:
		return fmt.Sprintf("the queues of this entry VM are full; retry after %v", r.RetryAfter)
	case TooManyClasses:
		return fmt.Sprintf("too many kinds and departments at once; retry after %v", r.RetryAfter)
	default:
		return fmt.Sprintf("the request cannot start within its patience; retry after %v", r.RetryAfter)
	}
}
