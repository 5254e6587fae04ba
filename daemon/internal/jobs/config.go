// Package jobs keeps the jobs of a zone: it stores them in the platform, has
// them run by the zone scheduler, and recovers them when the role changes hands.
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
	// SelfID and Zone name this entry VM and its availability zone.
	SelfID   string
	Zone     string
	View     membership.View
	VMs      vmlist.Source
	Settings settingsync.Provider
	Store    platform.Store
	Peers    *peer.Client
	// Server gets the methods that other entry VMs call; nil registers none.
	Server *peer.Server
	// NewEngine returns the engine of one term.
	NewEngine func() model.Engine
	// Transport calls workers; nil means HTTP.
	Transport dispatch.Transport
	// Policies maps a document for the engine; nil means its own resolution.
	Policies func(*settings.Document) model.Policies
	Logger   *zap.Logger
	Meter    metric.Meter
	Tracer   trace.Tracer
}

// Defaults of the limits.
const (
	defaultTaskLease  = 60 * time.Second
	defaultOwnerLease = 3 * time.Second
	defaultRetention  = 24 * time.Hour
)

// limits returns the limits in force; defaults apply without settings.
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

// policies returns the policies in force and their revision; nil without settings.
func (s *Service) policies() (model.Policies, uint64) {
	doc, rev, ok := s.cfg.Settings.Current()
	if !ok {
		return nil, 0
	}
	return s.cfg.Policies(doc), rev
}
