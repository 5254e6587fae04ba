// Package worker simulates a worker VM for tests: it grants its owner lease, runs simulated
// tasks by timer and keeps their outcomes until they are acknowledged.
package worker

import (
	"time"

	"rhubarbstall.example/standin/history"
	wire "rhubarbstall.example/wire/worker"
)

// Options configures a Worker. A field that is zero gets its default.
type Options struct {
	ID               string
	AvailabilityZone string
	Rack             string
	// Capacity defaults to 32 cores and 128 GB.
	Capacity wire.Size
	// Instance identifies this start of the worker; random by default.
	Instance string
	// MaxOwnerLease is the longest owner lease that the worker grants; default
	// wire.MaxOwnerLeaseMillis. The worker grants none until this time has passed since its
	// start, because a lease from before the start may still be valid.
	MaxOwnerLease time.Duration
	// UsageLag is the age at which the usage of a task is first reported; default 500 ms.
	UsageLag time.Duration
	// History receives the events; nil discards them.
	History *history.Writer
	// RefuseConnections makes the listener refuse or accept connections. If it is nil, the
	// control call "refuse" fails.
	RefuseConnections func(enabled bool) error
	// Now returns the current time; default time.Now.
	Now func() time.Time
}

func (o *Options) setDefaults(instance func() string) {
	if o.Capacity == (wire.Size{}) {
		o.Capacity = wire.Size{MilliCPU: 32_000, MemoryMB: 128 << 10}
	}
	if o.Instance == "" {
		o.Instance = instance()
	}
	if o.MaxOwnerLease == 0 {
		o.MaxOwnerLease = wire.MaxOwnerLeaseMillis * time.Millisecond
	}
	if o.UsageLag == 0 {
		o.UsageLag = 500 * time.Millisecond
	}
	if o.Now == nil {
		o.Now = time.Now
	}
}
