// Package platform simulates the platform's key-value service and VM list for tests. It
// keeps its state in memory.
package platform

import (
	"time"

	"rhubarbstall.example/standin/history"
)

// Options configures a Server. A field that is zero gets its default.
type Options struct {
	// WritesPerSecond limits puts, deletes and lease calls together; default 300.
	WritesPerSecond int
	// ReadsPerSecond limits gets, lists, watches and reads of the VM list together; default 2000.
	ReadsPerSecond int
	// VMLag is the delay until a change of the VM list is visible; default 0.
	VMLag time.Duration
	// KeepEvents is the number of latest changes that are kept for watches; default 10000.
	KeepEvents int
	// History receives the events; nil discards them.
	History *history.Writer
	// RefuseConnections makes the listener refuse or accept connections. If it is nil, the
	// control call "refuse" fails.
	RefuseConnections func(enabled bool) error
}

func (o *Options) setDefaults() {
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = 300
	}
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = 2000
	}
	if o.KeepEvents == 0 {
		o.KeepEvents = 10_000
	}
}
