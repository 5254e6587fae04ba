package command

import (
	"context"
	"errors"
	"fmt"
	"net/url"
)

// noAnswer is a call without a usable answer.
type noAnswer struct {
	server string
	// sent is false if no byte of the call left this process.
	sent   bool
	writes bool
	err    error
}

func (n *noAnswer) Error() string {
	reason := n.err.Error()
	var transport *url.Error
	if errors.As(n.err, &transport) {
		reason = transport.Err.Error()
	}
	if errors.Is(n.err, context.DeadlineExceeded) {
		reason = "no answer in time"
	}
	if !n.sent {
		return fmt.Sprintf("cannot reach %s: %s", n.server, reason)
	}
	return fmt.Sprintf("no usable answer from %s: %s", n.server, reason)
}

// action says what the reader can do.
func (n *noAnswer) action() string {
	switch {
	case !n.sent:
		return "Check the address and that the entry VM runs; name another one with --server."
	case n.writes:
		return "The call may have been carried out. Check its effect before you repeat it."
	default:
		return "Try again, or name another entry VM with --server."
	}
}

func (n *noAnswer) Unwrap() error { return n.err }
