package jobs

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync/atomic"

	metricnoop "go.opentelemetry.io/otel/metric/noop"
	tracenoop "go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/dispatch"
	"rhubarbstall.example/daemon/internal/zonelead"
	"rhubarbstall.example/sched/model"
	"rhubarbstall.example/settings"
	wire "rhubarbstall.example/wire/platform"
)

// Service handles job calls on every entry VM, and runs the jobs of the zone while
// this entry VM is the zone scheduler. It is safe for concurrent use.
type Service struct {
	cfg     Config
	ownerID string
	metrics *metrics
	leader  *zonelead.Elector
	term    atomic.Pointer[term]
}

// New returns a service and registers its peer methods on Config.Server. Call Run to
// start it.
func New(cfg Config) *Service {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Meter == nil {
		cfg.Meter = metricnoop.NewMeterProvider().Meter("jobs")
	}
	if cfg.Tracer == nil {
		cfg.Tracer = tracenoop.NewTracerProvider().Tracer("jobs")
	}
	if cfg.Transport == nil {
		cfg.Transport = dispatch.NewHTTPTransport(cfg.Tracer)
	}
	if cfg.Policies == nil {
		cfg.Policies = func(doc *settings.Document) model.Policies { return policies{doc} }
	}
	s := &Service{cfg: cfg, ownerID: cfg.SelfID + "/" + randomHex(8), metrics: newMetrics(cfg.Meter)}
	s.leader = zonelead.New(zonelead.Config{
		SelfID: cfg.SelfID, Zone: cfg.Zone, OwnerID: s.ownerID, View: cfg.View, VMs: cfg.VMs, Store: cfg.Store,
		OwnerLease: s.ownerLease, RunCampaign: s.serve, Removable: s.removable, PublishRoster: s.publish, Logger: cfg.Logger, Tracer: cfg.Tracer,
	})
	if cfg.Server != nil {
		s.register(cfg.Server)
	}
	return s
}

// Run takes part in the election of the zone scheduler until ctx ends.
func (s *Service) Run(ctx context.Context) error { return s.leader.Run(ctx) }

// SchedulerEpoch returns the epoch if this entry VM is the zone scheduler, otherwise zero.
func (s *Service) SchedulerEpoch() uint64 { return s.leader.Epoch() }

// Handover gives up leadership permanently. It returns after the votes are released.
func (s *Service) Handover(ctx context.Context) error { return s.leader.Resign(ctx) }

func (s *Service) removable(worker string) bool {
	t := s.term.Load()
	return t != nil && t.dispatcher.Removable(worker)
}

func (s *Service) vms() []wire.VM {
	vms, _ := s.cfg.VMs.VMs()
	return vms
}

// currentTerm returns the current term if this entry VM is the zone scheduler and
// has read the job records.
func (s *Service) currentTerm() (*term, bool) {
	t := s.term.Load()
	if t == nil || !t.ready() {
		return nil, false
	}
	return t, true
}

func randomHex(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
