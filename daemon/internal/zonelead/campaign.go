package zonelead

import (
	"context"
	"maps"
	"sync"
	"time"

	"rhubarbstall.example/sched/quorum"
	wire "rhubarbstall.example/wire/worker"
)

// Campaign is one candidacy of this entry VM and, from the time that it has the
// quorum, its term as the zone scheduler. It ends when the quorum is lost and is
// never resumed. It is safe for concurrent use.
type Campaign struct {
	owner string
	lease time.Duration

	mu              sync.Mutex
	candidate       *quorum.Candidate
	quorumReachedAt time.Time
	ended           bool
	// rosterStale is set if a voter or the platform has a later roster.
	rosterStale bool
	// answered holds the voters that granted or refused a lease.
	answered map[string]bool
	// instances holds the instance of each worker that granted a lease.
	instances     map[string]string
	quorumReached chan struct{}
}

func newCampaign(owner string, roster quorum.Roster, term uint32, lease time.Duration) *Campaign {
	return &Campaign{
		owner: owner, lease: lease,
		candidate: quorum.New(roster, term), answered: make(map[string]bool), instances: make(map[string]string), quorumReached: make(chan struct{}),
	}
}

// LeaseDuration returns the length of the owner lease to request from workers.
func (c *Campaign) LeaseDuration() time.Duration { return c.lease }

// QuorumReached is closed when the candidate has the quorum for the first time.
func (c *Campaign) QuorumReached() <-chan struct{} { return c.quorumReached }

// QuorumReachedAt returns the time at which the candidate got the quorum.
func (c *Campaign) QuorumReachedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quorumReachedAt
}

// NextClaim returns the owner to send with the next claim to a worker. Its epoch is
// above that of every earlier claim.
func (c *Campaign) NextClaim(worker string) wire.Owner {
	c.mu.Lock()
	defer c.mu.Unlock()
	return wire.Owner{ID: c.owner, Epoch: uint64(c.candidate.NextLeaseEpoch(worker))}
}

// MaySend reports whether the candidate has the quorum and the worker's lease at
// this moment. The caller must check it immediately before it sends a start. The
// returned owner has the epoch that the worker granted last.
func (c *Campaign) MaySend(worker string) (wire.Owner, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	owner := wire.Owner{ID: c.owner, Epoch: uint64(c.candidate.GrantedEpoch(worker))}
	return owner, c.hasQuorumLocked(now) && c.candidate.MayStartTasksOn(now, worker)
}

// hasQuorumLocked reports whether the candidate has the quorum. The first loss is
// final even if the votes are granted again at once, because callers may already have
// seen that this entry VM is no longer the zone scheduler. The caller holds the lock.
func (c *Campaign) hasQuorumLocked(now time.Time) bool {
	if c.ended || c.quorumReachedAt.IsZero() {
		return false
	}
	if !c.candidate.HasQuorum(now) {
		c.ended = true
	}
	return !c.ended
}

// HasQuorum reports whether the candidate has the quorum at this moment.
func (c *Campaign) HasQuorum() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasQuorumLocked(time.Now())
}

// RecordGrant records the lease that a voter granted. The instance identifies the
// process of a worker; it is empty for the platform.
func (c *Campaign) RecordGrant(voter, instance string, epoch uint64, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.answered[voter] = true
	if instance != "" {
		c.instances[voter] = instance
	}
	c.candidate.RecordGrant(time.Now(), voter, instance, quorum.Epoch(epoch), sentAt, c.lease)
	if c.quorumReachedAt.IsZero() && c.candidate.HasQuorum(time.Now()) {
		c.quorumReachedAt = time.Now()
		close(c.quorumReached)
	}
}

// waitForInstances waits up to limit until every worker of the roster has granted
// its lease.
func (c *Campaign) waitForInstances(ctx context.Context, limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		c.mu.Lock()
		all := true
		for _, w := range c.candidate.Roster().Workers {
			all = all && c.instances[w] != ""
		}
		c.mu.Unlock()
		if all || !sleep(ctx, nil, limit/20) {
			return
		}
	}
}

// RecordRefusal records that a worker refused a claim or a start.
func (c *Campaign) RecordRefusal(worker string, r wire.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered[worker] = true
	if r.Code == wire.RefusedStaleEpoch && r.OwnerID == c.owner {
		// A later claim of this campaign reached the worker before the refused
		// message. The reply to that claim follows.
		return
	}
	if r.Code == wire.RefusedStaleEpoch {
		if !c.candidate.RecordRefusal(worker, quorum.Epoch(r.Epoch)) {
			c.rosterStale = true
		}
		return
	}
	c.candidate.DropVote(worker)
}

// Workers returns the workers that may run tasks of the zone.
func (c *Campaign) Workers() []string {
	return c.Roster().AllWorkers()
}

// setRemovedWorkers sets the workers that the platform's VM list no longer contains.
// It leaves out workers that answered this campaign, if only with a refusal, because
// a wrong list must not lead to two zone schedulers.
func (c *Campaign) setRemovedWorkers(removed map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(removed, func(w string, _ bool) bool { return c.answered[w] })
	c.candidate.SetRemovedWorkers(removed)
}

// Roster returns the roster.
func (c *Campaign) Roster() quorum.Roster {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.candidate.Roster()
}

// Epoch returns the epoch, or zero without the quorum.
func (c *Campaign) Epoch() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasQuorumLocked(time.Now()) {
		return 0
	}
	return uint64(c.candidate.Epoch())
}

// DropAllVotes gives up every vote and ends the campaign.
func (c *Campaign) DropAllVotes() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.candidate.DropAllVotes()
}

// campaignStatus is either campaignRunning or the reason why a campaign has to end.
type campaignStatus int

const (
	campaignRunning campaignStatus = iota
	quorumLost
	rosterOutdated
	electionTimedOut
)

// status returns campaignRunning, or the reason why the campaign has to end. A
// candidacy without the quorum ends after two lease durations. If a quorum of voters
// answers, it may last longer by the time in which restarted workers grant no lease,
// because no other entry VM could get their votes earlier.
func (c *Campaign) status(startedAt time.Time) campaignStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	limit := 2 * c.lease
	sum := 0
	for id := range c.answered {
		sum += c.candidate.Roster().Weight(id)
	}
	if c.candidate.Roster().IsMajority(sum) {
		limit += wire.MaxOwnerLeaseMillis * time.Millisecond
	}
	switch {
	case c.rosterStale:
		return rosterOutdated
	case c.ended, !c.quorumReachedAt.IsZero() && !c.hasQuorumLocked(now):
		return quorumLost
	case c.quorumReachedAt.IsZero() && now.Sub(startedAt) > limit:
		return electionTimedOut
	}
	return campaignRunning
}
