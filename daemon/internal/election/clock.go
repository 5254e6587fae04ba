package election

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed point. It never goes back and includes the time for
// which the machine is suspended.
type Clock func() time.Duration

// BootClock returns the time since the machine started, including suspensions. Go's
// monotonic clock stops while a machine is suspended, so with it a holder would consider an
// expired lease valid.
func BootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Every Linux that Go supports has CLOCK_BOOTTIME.
	}
	return time.Duration(t.Nano())
}
