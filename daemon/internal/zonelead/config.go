// Package zonelead elects the zone scheduler of an availability zone: the entry
// VM that holds leases on more than half of the votes of the workers and the platform.
package zonelead

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/platform"
	"rhubarbstall.example/daemon/internal/vmlist"
	"rhubarbstall.example/sched/quorum"
)

// Config configures an Elector.
type Config struct {
	// SelfID is the ID of this entry VM, and Zone its availability zone.
	SelfID string
	Zone   string
	// OwnerID identifies this process to voters; each campaign appends a number. It
	// must differ after each restart, because a restarted process does not know the
	// leases of the previous one.
	OwnerID string
	View    membership.View
	VMs     vmlist.Source
	Store   platform.Store
	// OwnerLease returns the duration of the lease on a vote.
	OwnerLease func() time.Duration
	// RunCampaign collects the votes of the workers and does the work of the zone
	// scheduler. It is called at the start of a campaign and returns when ctx ends.
	RunCampaign func(ctx context.Context, c *Campaign)
	// Removable reports whether a worker that is no longer in the VM list cannot be
	// running tasks, so that it may be removed from the roster.
	Removable func(worker string) bool
	// PublishRoster sends a stored roster to the other entry VMs of the zone without
	// waiting for them. It may be nil.
	PublishRoster func(ctx context.Context, r quorum.Roster)
	Logger        *zap.Logger
	Tracer        trace.Tracer
}
