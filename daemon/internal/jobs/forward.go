package jobs

import (
	"context"
	"errors"
	"time"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/daemon/internal/platform"
)

// Peer methods of the zone scheduler.
const (
	methodSubmit  = "jobs.submit"
	methodGet     = "jobs.get"
	methodList    = "jobs.list"
	methodCancel  = "jobs.cancel"
	methodWhy     = "jobs.why"
	methodWorkers = "jobs.workers"
	methodDrain   = "jobs.drain"
	methodQueues  = "jobs.queues"
)

// forwardTimeout bounds a forwarded call whose context has no deadline. It is longer
// than writeTimeout, so that a segment write can finish within the call.
const forwardTimeout = 8 * time.Second

var retrySoon = codes.RetryAfter(time.Second)

type submitArgs struct {
	ID   string `json:"id"`
	Spec Spec   `json:"spec"`
}

type idArgs struct {
	ID string `json:"id"`
}

type drainArgs struct {
	ID      string `json:"id"`
	Enabled bool   `json:"enabled"`
}

type noArgs struct{}

type jobPage struct {
	Jobs []Job  `json:"jobs"`
	Next string `json:"next,omitempty"`
}

func (s *Service) register(srv *peer.Server) {
	handle(srv, methodSubmit, s.submitLocal)
	handle(srv, methodGet, s.getLocal)
	handle(srv, methodList, s.listLocal)
	handle(srv, methodCancel, s.cancelLocal)
	handle(srv, methodWhy, s.whyLocal)
	handle(srv, methodWorkers, s.workersLocal)
	handle(srv, methodDrain, s.drainLocal)
	handle(srv, methodQueues, s.queuesLocal)
	handle(srv, methodRoster, s.rosterLocal)
}

func handle[A, R any](srv *peer.Server, method string, local func(context.Context, *A) (*R, error)) {
	peer.Handle(srv, method, func(ctx context.Context, _ string, args *A) (*R, error) { return local(ctx, args) })
}

// forward runs a call on the zone scheduler of a zone: locally if this entry VM is
// the zone scheduler, otherwise on the member that reports the highest epoch. The
// receiver does not forward the call again.
func forward[A, R any](ctx context.Context, s *Service, zone, method string, args *A, local func(context.Context, *A) (*R, error)) (*R, error) {
	if zone == "" {
		return nil, codes.NotFound.Errorf("the job ID contains no availability zone")
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
	}
	if zone == s.cfg.Zone {
		if _, ok := s.currentTerm(); ok {
			return local(ctx, args)
		}
	}
	m, alive := s.schedulerOf(zone)
	switch {
	case m.ID == "" && !alive && zone != s.cfg.Zone:
		return nil, codes.ZoneUnreachable.With("no entry VM of availability zone "+zone+" can be reached", retrySoon)
	case m.ID == "" || s.cfg.Peers == nil:
		return nil, noScheduler(zone)
	}
	r, err := peer.Call[A, R](ctx, s.cfg.Peers, m.PeerAddr, method, args)
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return nil, noScheduler(zone)
	case errors.Is(err, peer.ErrNoReply):
		return nil, codes.OutcomeUnknown.With("no reply from the zone scheduler of "+zone,
			codes.WithOutcome(codes.OutcomeIndeterminate), retrySoon)
	}
	return r, err
}

// schedulerOf returns the member of a zone that reports the highest epoch, and
// whether any member of the zone is alive.
func (s *Service) schedulerOf(zone string) (membership.Member, bool) {
	var best membership.Member
	alive := false
	for _, m := range s.cfg.View.InZone(zone) {
		if m.ID == s.cfg.SelfID || m.State != membership.Alive {
			continue
		}
		alive = true
		if m.Report.SchedulerEpoch > best.Report.SchedulerEpoch {
			best = m
		}
	}
	return best, alive
}

func noScheduler(zone string) error {
	return codes.NoZoneScheduler.With("availability zone "+zone+" has no zone scheduler at the moment",
		codes.WithOutcome(codes.OutcomeNotRun), retrySoon)
}

// withCode converts platform and leadership errors to result codes.
func withCode(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrBudgetExceeded):
		return codes.WriteBudget.With("the budget of platform calls is used up; nothing was stored",
			codes.WithOutcome(codes.OutcomeNotRun), retrySoon)
	case errors.Is(err, platform.ErrUnavailable):
		return codes.PlatformUnavailable.With("the platform cannot be reached; nothing was stored",
			codes.WithOutcome(codes.OutcomeNotRun), codes.RetryAfter(2*time.Second))
	case errors.Is(err, platform.ErrAmbiguous), errors.Is(err, errLeadershipLost),
		errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return codes.OutcomeUnknown.With("it is not known whether the change was stored: "+err.Error(),
			codes.WithOutcome(codes.OutcomeIndeterminate), retrySoon)
	}
	if codes.Of(err) == codes.Internal {
		return codes.Internal.Errorf("%w", err)
	}
	return err
}
