package zonelead

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	tracenoop "go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/platform"
	"rhubarbstall.example/sched/quorum"
)

const (
	// checkInterval is the mean time between two checks whether to start a campaign,
	// and the time between two checks whether the running one has to end.
	checkInterval = 200 * time.Millisecond
	// delayPerRank staggers the candidates of a zone, so that usually only the one
	// with the best rank starts a campaign.
	delayPerRank = time.Second
	// rosterRefreshInterval is how often an entry VM without a campaign reads the
	// roster, because it may have to start one while the platform is down.
	rosterRefreshInterval = time.Minute
	// rosterRetryInterval replaces it while the roster is missing or a heartbeat
	// reports a later one: without the latest roster this entry VM could not start a
	// campaign.
	rosterRetryInterval = 300 * time.Millisecond
	// claimTimeout bounds the platform calls at the start of a campaign, and those of
	// a background read of the roster.
	claimTimeout = 2500 * time.Millisecond
)

// Elector takes part in the election of one zone. It is safe for concurrent use.
type Elector struct {
	cfg Config

	mu                  sync.Mutex
	roster              *quorum.Roster
	rosterStoreRevision uint64
	rosterReadAt        time.Time
	// reportedRevision is the highest roster revision in the heartbeats of others.
	reportedRevision uint32
	// term is the highest term of a campaign so far, and campaigns their number.
	term      uint32
	campaigns int
	// noSchedulerSince is the time at which no other member reported to be the zone
	// scheduler any more, or at which the last campaign of this entry VM ended. It is
	// zero while another member is the zone scheduler.
	noSchedulerSince time.Time
	// campaign is the campaign in progress, or nil.
	campaign   *Campaign
	refreshing atomic.Bool
	removed    removedWorkers
	// resigned is closed by Resign, and stopped when Run returns.
	resigned   chan struct{}
	resignOnce sync.Once
	stopped    chan struct{}
}

// New returns an Elector; Run starts it.
func New(cfg Config) *Elector {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Tracer == nil {
		cfg.Tracer = tracenoop.NewTracerProvider().Tracer("zonelead")
	}
	e := &Elector{cfg: cfg, resigned: make(chan struct{}), stopped: make(chan struct{})}
	e.observeRoster()
	return e
}

// Run takes part in the election until ctx ends or Resign is called.
func (e *Elector) Run(ctx context.Context) error {
	defer close(e.stopped)
	for sleep(ctx, e.resigned, checkInterval/2+rand.N(checkInterval)) {
		e.refreshRoster(ctx)
		if !e.eligible(time.Now()) {
			continue
		}
		c, vote, err := e.startCampaign(ctx)
		if err != nil {
			if !errors.Is(err, errVoteTaken) {
				e.cfg.Logger.Info("[zonelead] could not start a campaign", zap.Error(err))
			}
			if !sleep(ctx, e.resigned, delayPerRank/2+rand.N(delayPerRank)) {
				break
			}
			continue
		}
		e.runCampaign(ctx, c, vote)
		if !sleep(ctx, e.resigned, delayPerRank/2+rand.N(2*delayPerRank)) {
			break
		}
	}
	return ctx.Err()
}

// Epoch returns the epoch if this entry VM is the zone scheduler, else zero.
func (e *Elector) Epoch() uint64 {
	e.mu.Lock()
	c := e.campaign
	e.mu.Unlock()
	if c == nil {
		return 0
	}
	return c.Epoch()
}

// Resign ends the current campaign and starts no further one. It returns when the
// votes are released.
func (e *Elector) Resign(ctx context.Context) error {
	e.resignOnce.Do(func() { close(e.resigned) })
	select {
	case <-e.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startCampaign starts a candidacy: with the platform's vote if the platform
// answers, else with the cached roster. Workers refuse claims with an outdated epoch,
// but the platform checks no epochs. Reading the roster only after the vote is taken
// replaces that check.
func (e *Elector) startCampaign(ctx context.Context) (*Campaign, platformVote, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	ctx, span := e.cfg.Tracer.Start(ctx, "zonelead claim")
	defer span.End()
	vote, err := e.claimPlatformVote(ctx)
	if errors.Is(err, errVoteTaken) {
		return nil, platformVote{}, err
	}
	if err != nil {
		roster, ok := e.cachedRoster()
		if !ok {
			return nil, platformVote{}, errors.Join(errNoRoster, err)
		}
		return e.newCampaign(roster), platformVote{}, nil
	}
	roster, err := e.readOrCreateRoster(ctx)
	if err != nil {
		e.revokeLease(vote.leaseID)
		return nil, platformVote{}, err
	}
	c := e.newCampaign(roster)
	c.RecordGrant(quorum.Platform, "", uint64(c.candidate.Epoch()), vote.sentAt)
	return c, vote, nil
}

func (e *Elector) newCampaign(roster quorum.Roster) *Campaign {
	e.mu.Lock()
	defer e.mu.Unlock()
	// Claims raise the term at each worker about once a second. A first term taken
	// from the wall clock is usually above all of them, which avoids a refused claim
	// at each worker. If it is lower, a refusal raises it.
	e.term = max(e.term+1, uint32(time.Now().Unix()))
	e.campaigns++
	owner := fmt.Sprintf("%s/%d", e.cfg.OwnerID, e.campaigns)
	return newCampaign(owner, roster, e.term, e.cfg.OwnerLease())
}

// cachedRoster returns the cached roster, unless a heartbeat reported a later one.
func (e *Elector) cachedRoster() (quorum.Roster, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.roster == nil || e.roster.Revision < e.reportedRevision {
		return quorum.Roster{}, false
	}
	return *e.roster, true
}

// CacheRoster caches a stored roster that the zone scheduler published. With it,
// this entry VM can start a campaign even if the platform becomes unavailable before
// it reads the roster.
func (e *Elector) CacheRoster(r quorum.Roster) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Validate() == nil && (e.roster == nil || e.roster.Revision < r.Revision) {
		e.roster = &r
	}
}

// refreshRoster reads the roster in the background if the last read is older than
// the refresh interval.
func (e *Elector) refreshRoster(ctx context.Context) {
	e.mu.Lock()
	interval := rosterRefreshInterval
	missing := e.roster == nil && len(e.listedWorkers()) > 0
	if missing || (e.roster != nil && e.roster.Revision < e.reportedRevision) {
		interval = rosterRetryInterval
	}
	due := time.Since(e.rosterReadAt) > interval
	e.mu.Unlock()
	if !due || !e.refreshing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.refreshing.Store(false)
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		if _, err := e.readRoster(ctx); err != nil && !errors.Is(err, platform.ErrNotFound) {
			e.cfg.Logger.Debug("[zonelead] could not read the roster", zap.Error(err))
		}
		// After a failed read, the next one also waits for the interval.
		e.mu.Lock()
		e.rosterReadAt = time.Now()
		e.mu.Unlock()
	}()
}

// sleep waits for d. It returns false if the context or stop ended the wait.
func sleep(ctx context.Context, stop <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-stop:
		return false
	}
}
