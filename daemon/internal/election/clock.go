package election

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads a clock that never goes back and counts suspensions.
type Clock func() time.Duration

// BootClock returns the time since the machine started. Go's monotonic clock stands
// still while a machine is suspended, so a holder would take an old lease for valid.
func BootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // The clock exists on every Linux that Go supports.
	}
	return time.Duration(t.Nano())
}
