package zonelead

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/platform"
	"rhubarbstall.example/sched/quorum"
)

// maxPause is the delay of the check timer above which this process counts as paused.
const maxPause = time.Second

// instancesTimeout is how long a new zone scheduler waits for workers that have not
// answered yet, so that one roster change records the instances of all workers.
const instancesTimeout = 500 * time.Millisecond

// runCampaign runs a campaign until the quorum is lost or given up.
func (e *Elector) runCampaign(ctx context.Context, c *Campaign, vote platformVote) {
	ctx, cancel := context.WithCancel(ctx)
	e.mu.Lock()
	e.campaign = c
	e.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.cfg.RunCampaign(ctx, c)
	}()
	m := &maintainer{elector: e, campaign: c, vote: vote}
	maintained := make(chan struct{})
	go func() {
		defer close(maintained)
		m.run(ctx)
	}()
	reason := e.superviseCampaign(ctx, c)
	c.DropAllVotes()
	cancel()
	<-done
	<-maintained
	e.revokeLease(m.vote.leaseID)
	e.mu.Lock()
	e.campaign = nil
	e.term = max(e.term, c.candidate.Epoch().Term())
	e.noSchedulerSince = time.Now()
	e.mu.Unlock()
	e.cfg.Logger.Info("[zonelead] campaign ended", zap.String("reason", reason), zap.Uint64("epoch", uint64(c.candidate.Epoch())))
}

// superviseCampaign checks the campaign until it has to end, and returns the reason.
func (e *Elector) superviseCampaign(ctx context.Context, c *Campaign) string {
	startedAt := time.Now()
	announced := false
	last := time.Now()
	for {
		if !sleep(ctx, e.resigned, checkInterval) {
			return "handover"
		}
		now := time.Now()
		if paused(last, now) {
			c.DropAllVotes()
			return "this process was paused"
		}
		last = now
		removed := e.removed.update(now, c.Roster(), e.vmList())
		// After one lease duration every worker has been called, so workers that answer
		// are not taken for removed, even if the list omits them.
		if now.Sub(startedAt) >= c.LeaseDuration() {
			c.setRemovedWorkers(removed)
		}
		switch c.status(startedAt) {
		case quorumLost:
			return "quorum lost"
		case rosterOutdated:
			return "a worker knows a later roster"
		case electionTimedOut:
			return "no quorum in time"
		}
		if !announced && !c.QuorumReachedAt().IsZero() {
			announced = true
			e.cfg.Logger.Info("[zonelead] became zone scheduler", zap.String("zone", e.cfg.Zone), zap.Uint64("epoch", c.Epoch()))
		}
	}
}

// paused reports whether the process was paused between two checks. It compares the
// wall clock too, because the monotonic clock may stop with the VM.
func paused(last, now time.Time) bool {
	limit := checkInterval + maxPause
	return now.Sub(last) > limit || now.Round(0).Sub(last.Round(0)) > limit
}

// maintainer renews the platform's vote and changes the roster. One goroutine does
// both, so that a renewal after a roster write acknowledges that write.
type maintainer struct {
	elector  *Elector
	campaign *Campaign
	vote     platformVote
	// pendingRoster is the next roster until its write is known to have succeeded or
	// failed.
	pendingRoster *quorum.Roster
	// writeUnanswered is set if a write of pendingRoster got no response.
	writeUnanswered bool
}

func (m *maintainer) run(ctx context.Context) {
	period := m.elector.cfg.OwnerLease() / 3
	quorumReached := m.campaign.QuorumReached()
	for {
		t := time.NewTimer(period)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-quorumReached:
			// A new zone scheduler records the instances of the workers at once.
			// Without them no other entry VM could take over while the platform is
			// unavailable.
			t.Stop()
			quorumReached = nil
			m.campaign.waitForInstances(ctx, instancesTimeout)
		case <-t.C:
			callCtx, cancel := context.WithTimeout(ctx, period)
			m.renewVote(callCtx)
			cancel()
		}
		if m.campaign.HasQuorum() {
			callCtx, cancel := context.WithTimeout(ctx, 2*period)
			m.stepRoster(callCtx)
			cancel()
		}
	}
}

func (m *maintainer) renewVote(ctx context.Context) {
	e, c := m.elector, m.campaign
	c.mu.Lock()
	epoch := c.candidate.Epoch()
	c.mu.Unlock()
	if m.vote.leaseID != "" {
		sentAt := time.Now()
		err := e.cfg.Store.RenewLease(ctx, m.vote.leaseID)
		if err == nil {
			c.RecordGrant(quorum.Platform, "", uint64(epoch), sentAt)
			return
		}
		if !errors.Is(err, platform.ErrNotFound) {
			return
		}
		m.vote = platformVote{}
	}
	vote, err := e.claimPlatformVote(ctx)
	if err != nil {
		return
	}
	m.vote = vote
	roster, err := e.readRoster(ctx)
	if err != nil {
		return
	}
	if roster.Revision > epoch.Revision() && m.pendingRoster == nil {
		c.mu.Lock()
		c.rosterStale = true
		c.mu.Unlock()
		return
	}
	c.RecordGrant(quorum.Platform, "", uint64(epoch), vote.sentAt)
}

// stepRoster changes the roster by one step towards the platform's VM list.
func (m *maintainer) stepRoster(ctx context.Context) {
	e, c := m.elector, m.campaign
	if m.pendingRoster == nil {
		c.mu.Lock()
		roster, ready := c.candidate.Roster(), c.candidate.MayStoreNextRoster(time.Now())
		next, change := roster.WithInstances(c.instances)
		c.mu.Unlock()
		if !ready {
			return
		}
		if !change {
			next, change = roster.NextStep(m.wantedWorkers(roster))
			c.mu.Lock()
			next = next.WithInstancesSameRevision(c.instances)
			c.mu.Unlock()
		}
		if !change {
			return
		}
		m.pendingRoster = &next
	}
	value, err := json.Marshal(rosterRecord{Roster: *m.pendingRoster, Writer: e.cfg.OwnerID})
	if err != nil {
		return
	}
	e.mu.Lock()
	base := e.rosterStoreRevision
	e.mu.Unlock()
	revision, err := platform.PutConfirmed(ctx, e.cfg.Store, rosterKey(e.cfg.Zone), value, base, "")
	switch {
	case err == nil:
		m.adoptRoster(ctx, revision)
	case errors.Is(err, platform.ErrConflict):
		// Either an earlier write of this step took effect, or another zone scheduler
		// wrote the roster.
		roster, rerr := e.readRoster(ctx)
		if rerr != nil {
			return
		}
		if roster.Revision == m.pendingRoster.Revision && equalRosters(roster, *m.pendingRoster) {
			e.mu.Lock()
			revision = e.rosterStoreRevision
			e.mu.Unlock()
			m.adoptRoster(ctx, revision)
			return
		}
		c.mu.Lock()
		c.rosterStale = true
		c.mu.Unlock()
	case errors.Is(err, platform.ErrAmbiguous):
		// The next round writes the same roster again.
		m.writeUnanswered = true
	case !m.writeUnanswered:
		m.pendingRoster = nil
	}
}

func (m *maintainer) adoptRoster(ctx context.Context, revision uint64) {
	e, c := m.elector, m.campaign
	next := *m.pendingRoster
	m.pendingRoster, m.writeUnanswered = nil, false
	c.mu.Lock()
	err := c.candidate.AdoptRoster(time.Now(), next)
	if err != nil {
		c.rosterStale = true
	}
	c.mu.Unlock()
	e.mu.Lock()
	e.roster, e.rosterStoreRevision = &next, revision
	e.mu.Unlock()
	if e.cfg.PublishRoster != nil {
		e.cfg.PublishRoster(context.WithoutCancel(ctx), next)
	}
	e.cfg.Logger.Info("[zonelead] roster changed", zap.Uint32("revision", next.Revision),
		zap.Int("voters", len(next.Workers)), zap.Int("observers", len(next.Observers)), zap.Int("platform_weight", next.PlatformWeight), zap.Error(err))
}

// wantedWorkers returns the workers that the roster should contain: those in the VM
// list, and workers of the current roster that may still run tasks.
func (m *maintainer) wantedWorkers(roster quorum.Roster) []string {
	want := m.elector.listedWorkers()
	if len(want) == 0 {
		return roster.AllWorkers()
	}
	listed := make(map[string]bool, len(want))
	for _, w := range want {
		listed[w] = true
	}
	for _, w := range roster.AllWorkers() {
		if !listed[w] && !m.elector.cfg.Removable(w) {
			want = append(want, w)
		}
	}
	return want
}

func equalRosters(a, b quorum.Roster) bool {
	return a.PlatformWeight == b.PlatformWeight && slices.Equal(a.Workers, b.Workers) &&
		slices.Equal(a.Observers, b.Observers) && maps.Equal(a.Instances, b.Instances)
}
