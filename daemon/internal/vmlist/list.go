// Package vmlist polls the platform's list of VMs and keeps the last version. The list may be
// out of date.
package vmlist

import (
	"time"

	wire "rhubarbstall.example/wire/platform"
)

// Source provides the list as last read. Implementations are safe for concurrent use.
type Source interface {
	// VMs returns the list as last read and the local time at which it was read. The time is
	// zero if no list has been read yet. The caller must not modify the slice.
	VMs() ([]wire.VM, time.Time)
}
