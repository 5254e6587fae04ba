package operatorconfig

import (
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/platform"
)

// Settings configure a Current.
type Settings struct {
	// Apply puts a version in force. Calls do not overlap, and each has a newer version than the one before.
	Apply func(*platform.Configuration)
	// Clock includes the time for which the machine was suspended, in which other VMs may have got a newer version.
	Clock func() time.Duration
	// Shared tells that other VMs may ask for the record, which is kept for them.
	Shared bool
	// MaxAge is how long ago a version may have been confirmed as the newest before it counts as outdated.
	MaxAge time.Duration
	// RefuseOutdated tells that API keys are not to be accepted by a version that counts as outdated.
	RefuseOutdated bool
	Log            *zap.Logger
}
