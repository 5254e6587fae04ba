package relay

import "errors"

var (
	// ErrLost means that the relay of a call was lost: the call has no answer, and the runner is not
	// known to be at fault. The call may have been carried out, unless ErrNotPassedOn is in the
	// error as well.
	ErrLost = errors.New("relay lost")
	// ErrNotPassedOn means that the call did not reach the runner and never will, for a reason that lies
	// with the relay or the scheduler.
	ErrNotPassedOn = errors.New("call not passed on to the runner")
)

// IsLost reports whether a call failed because of its relay and not of its runner.
func IsLost(err error) bool { return errors.Is(err, ErrLost) || errors.Is(err, ErrNotPassedOn) }
