package operatorconfig

import "time"

// State is what a VM tells other VMs about its version.
type State struct {
	// Version is the version in force; 0 if there is none.
	Version int64
	// Confirmed tells whether the version was ever confirmed as the newest, Age how long ago that was last the case.
	Confirmed bool
	Age       time.Duration
}
