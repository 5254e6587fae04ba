package command

import (
	"context"
	"errors"
	"fmt"
	"net/url"
)

// noAnswerError reports a call that got no usable answer.
type noAnswerError struct {
	server string
	// sent is false if the client got no connection, so that nothing was sent.
	sent     bool
	mutating bool
	err      error
}

func (n *noAnswerError) Error() string {
	reason := n.err.Error()
	var transport *url.Error
	if errors.As(n.err, &transport) {
		reason = transport.Err.Error()
	}
	if errors.Is(n.err, context.DeadlineExceeded) {
		reason = "the call timed out"
	}
	if !n.sent {
		return fmt.Sprintf("cannot reach %s: %s", n.server, reason)
	}
	return fmt.Sprintf("no usable answer from %s: %s", n.server, reason)
}

// action returns the advice for the operator.
func (n *noAnswerError) action() string {
	switch {
	case !n.sent:
		return "Check the address and that the entry VM runs; name another one with --server."
	case n.mutating:
		return "The call may have been carried out. Check its effect before you repeat it."
	default:
		return "Try again, or name another entry VM with --server."
	}
}

func (n *noAnswerError) Unwrap() error { return n.err }
