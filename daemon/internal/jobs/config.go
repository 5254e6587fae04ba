// Package jobs manages the jobs of a zone. It stores job records in the platform,
// runs jobs while this entry VM is the zone scheduler, and recovers them when
// another entry VM becomes the zone scheduler.
package jobs

import (
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/dispatch"
	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/daemon/internal/platform"
	"rhubarbstall.example/daemon/internal/settingsync"
	"rhubarbstall.example/daemon/internal/vmlist"
	"rhubarbstall.example/sched/model"
	"rhubarbstall.example/settings"
)

// Config configures a Service.
type Config struct {
	// SelfID and Zone are the ID and the availability zone of this entry VM.
	SelfID   string
	Zone     string
	View     membership.View
	VMs      vmlist.Source
	Settings settingsync.Provider
	Store    platform.Store
	Peers    *peer.Client
	// Server receives the calls of other entry VMs; if nil, no methods are registered.
	Server *peer.Server
	// NewEngine returns a new scheduling engine for one term.
	NewEngine func() model.Engine
	// Transport sends calls to workers; nil means HTTP.
	Transport dispatch.Transport
	// Policies converts a settings document for the engine; nil means the default conversion.
	Policies func(*settings.Document) model.Policies
	Logger   *zap.Logger
	Meter    metric.Meter
	Tracer   trace.Tracer
}

// Values that apply if the settings do not set the limit.
const (
	defaultTaskLease  = 60 * time.Second
	defaultOwnerLease = 3 * time.Second
	defaultRetention  = 24 * time.Hour
)

// limits returns the limits of the current settings, or zero limits without settings.
func (s *Service) limits() settings.Limits {
	if doc, _, ok := s.cfg.Settings.Current(); ok {
		return doc.Limits
	}
	return settings.Limits{}
}

func (s *Service) taskLease() time.Duration {
	return millisOr(s.limits().TaskLeaseMillis, defaultTaskLease)
}

func (s *Service) ownerLease() time.Duration {
	return millisOr(s.limits().OwnerLeaseMillis, defaultOwnerLease)
}

func (s *Service) retention() time.Duration {
	return millisOr(s.limits().JobRetentionMillis, defaultRetention)
}

func millisOr(millis int64, def time.Duration) time.Duration {
	if millis <= 0 {
		return def
	}
	return time.Duration(millis) * time.Millisecond
}

// policies returns the current policies and their settings revision, or nil without settings.
func (s *Service) policies() (model.Policies, uint64) {
	doc, rev, ok := s.cfg.Settings.Current()
	if !ok {
		return nil, 0
	}
	return s.cfg.Policies(doc), rev
}
