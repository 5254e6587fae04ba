package jobs

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/dispatch"
	"rhubarbstall.example/daemon/internal/wait"
	"rhubarbstall.example/daemon/internal/zonelead"
	"rhubarbstall.example/sched/model"
)

const (
	// loadRetryDelay is the pause between attempts to read the job records.
	loadRetryDelay = time.Second
	loadTimeout    = 20 * time.Second
	// recoveryCheckInterval is how often a new zone scheduler checks whether every worker
	// has reported its state or its leases have expired, so that recovery can start.
	recoveryCheckInterval = 100 * time.Millisecond
)

// term is one term of this entry VM as candidate and, with the quorum, zone scheduler.
type term struct {
	campaign   *zonelead.Campaign
	dispatcher *dispatch.Dispatcher
	store      *jobStore
	// loaded is closed after the job records are read.
	loaded chan struct{}
}

// ready reports whether the term can handle calls.
func (t *term) ready() bool {
	select {
	case <-t.loaded:
		return t.campaign.HasQuorum()
	default:
		return false
	}
}

// serve runs one term. The zonelead package calls it for each campaign.
func (s *Service) serve(ctx context.Context, c *zonelead.Campaign) {
	ctx, span := s.cfg.Tracer.Start(ctx, "zone scheduler term")
	defer span.End()
	t := &term{campaign: c, loaded: make(chan struct{})}
	t.store = newJobStore(s.cfg.Zone, s.ownerID+"/"+randomHex(4), s.cfg.Store, c.HasQuorum, s.cfg.Logger, s.metrics)
	t.store.retention = s.retention
	t.dispatcher = dispatch.New(dispatch.Config{
		Leadership: c, Store: t.store, Engine: s.cfg.NewEngine(), Transport: s.cfg.Transport, Zone: s.cfg.Zone,
		VMs: s.vms, TaskLease: s.taskLease, Policies: s.policies,
		Logger: s.cfg.Logger, Meter: s.cfg.Meter, Tracer: s.cfg.Tracer,
	})
	t.store.onLateJob = func(r *record) { s.enqueueStored(t, r) }
	s.term.Store(t)
	dispatcherDone := make(chan struct{})
	go func() {
		defer close(dispatcherDone)
		t.dispatcher.Run(ctx)
	}()
	s.runTerm(ctx, t)
	s.term.CompareAndSwap(t, nil)
	<-dispatcherDone
	t.dispatcher.ReleaseLeases(context.WithoutCancel(ctx))
}

// runTerm waits for the quorum, recovers the jobs and manages them until ctx ends.
func (s *Service) runTerm(ctx context.Context, t *term) {
	select {
	case <-t.campaign.QuorumReached():
	case <-ctx.Done():
		return
	}
	for !s.load(ctx, t) {
		if !wait.For(ctx, loadRetryDelay) {
			return
		}
	}
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		t.store.run(ctx)
	}()
	defer func() { <-writerDone }()
	close(t.loaded)
	for !t.dispatcher.ReadyToRecover() {
		if !wait.For(ctx, recoveryCheckInterval) {
			return
		}
	}
	if !t.campaign.HasQuorum() {
		return
	}
	s.recover(t)
	s.metrics.recovery.Record(ctx, time.Since(t.campaign.QuorumReachedAt()).Seconds())
	for wait.For(ctx, sweepPeriod) {
		for _, id := range t.store.sweep(time.Now(), t.dispatcher.ActiveAttempts) {
			t.dispatcher.RemoveJob(id)
		}
	}
}

func (s *Service) load(ctx context.Context, t *term) bool {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	err := t.store.incrementGeneration(ctx)
	if err == nil {
		err = t.store.load(ctx)
	}
	if err == nil {
		err = s.loadDrained(ctx, t)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		s.cfg.Logger.Warn("[jobs] failed to read job records", zap.Error(err))
	}
	return err == nil
}

// recover adds the jobs of earlier terms to the engine. The outcome of a task becomes
// unknown if the task must not be repeated, may have started, and no worker reports it.
func (s *Service) recover(t *term) {
	refused := t.dispatcher.Recover(func(found func(string, int) bool) []model.Job {
		return t.store.unfinishedJobs(found)
	})
	for id, err := range refused {
		t.store.failJob(id, err)
	}
	t.store.wakeWriter()
}

// enqueueStored adds a stored job to the engine.
func (s *Service) enqueueStored(t *term, r *record) {
	j, ok := t.store.markStored(r)
	if !ok {
		return
	}
	if err := t.dispatcher.AddJob(j); err != nil {
		t.store.failJob(j.ID, err)
	}
	if t.store.isCancelled(r) {
		// The job may have been cancelled before it was added to the engine.
		t.dispatcher.StopJob(j.ID)
	}
}
