// Package vmlist holds the platform's list of VMs as last read. The list lags.
package vmlist

import (
	"time"

	wire "rhubarbstall.example/wire/platform"
)

// Source gives the last list. Implementations are safe for concurrent use.
type Source interface {
	// VMs returns the last list and the local time of its reading; the time is
	// zero if no list was read yet. The caller does not change the slice.
	VMs() ([]wire.VM, time.Time)
}
