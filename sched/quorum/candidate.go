package quorum

import (
	"errors"
	"maps"
	"time"
)

// ErrRosterUnacknowledged means that no quorum has acknowledged the current roster.
var ErrRosterUnacknowledged = errors.New("no quorum has acknowledged the current roster")

// ErrNotSingleStep means that a roster differs from the current one by more than
// one step.
var ErrNotSingleStep = errors.New("the new roster differs from the current one by more than one step")

// vote is the state of one voter as the candidate knows it.
type vote struct {
	// expires is the time until which the candidate counts the vote.
	expires time.Time
	// granted is the epoch of the last lease request that the voter granted.
	granted Epoch
	// requested is the epoch of the last lease request sent to the voter.
	requested Epoch
	// instance identifies the process of the worker that granted the lease.
	instance string
}

// Candidate is an entry VM that campaigns to become the leader of a zone. It leads
// while it has more than half of the votes. It is not safe for concurrent use.
type Candidate struct {
	roster Roster
	term   uint32
	// votes holds the state of the voters by ID.
	votes map[string]*vote
	// hadQuorum is set once the candidate has had a quorum, lostQuorum once that
	// quorum was lost.
	hadQuorum  bool
	lostQuorum bool
	// removed holds the workers that are known to be removed for good, see
	// SetRemovedWorkers.
	removed map[string]bool
	// newWorkers holds the workers that the last roster step added.
	newWorkers map[string]bool
	// quorumUntil is the earliest expiry among the votes that made up the quorum at
	// the last count. Votes are not counted again before that time: counting 824
	// votes at each of 824 grants a second took a tenth of a core.
	quorumUntil time.Time
}

// New returns a candidate without votes. The lowest term is 1.
func New(roster Roster, term uint32) *Candidate {
	return &Candidate{roster: roster, term: max(term, 1), votes: make(map[string]*vote)}
}

// Roster returns the roster that the candidate uses.
func (c *Candidate) Roster() Roster { return c.roster }

// Epoch returns the epoch made of the candidate's roster revision and term.
func (c *Candidate) Epoch() Epoch { return MakeEpoch(c.roster.Revision, c.term) }

// NextLeaseEpoch returns the epoch for the next lease request to a voter. It is
// higher than the epoch of every earlier request to that voter. The start of a task
// carries the epoch of a granted request. The voter refuses the start if it has
// processed a later request, or if the granted lease has expired. Without this, a
// voter that was frozen could process a buffered request, which renews the lease,
// and then a buffered start.
func (c *Candidate) NextLeaseEpoch(voter string) Epoch {
	v := c.voteOf(voter)
	v.requested = max(v.requested+1, v.granted+1, c.Epoch())
	return v.requested
}

// GrantedEpoch returns the epoch of the last lease that a voter granted, zero if it
// granted none.
func (c *Candidate) GrantedEpoch(voter string) Epoch {
	if v, ok := c.votes[voter]; ok {
		return v.granted
	}
	return 0
}

// RecordGrant records that a voter granted or renewed a lease. sentAt is the time
// just before the request was sent. The instance of the platform is empty.
func (c *Candidate) RecordGrant(now time.Time, voter, instance string, epoch Epoch, sentAt time.Time, lease time.Duration) {
	// A quorum that has expired must be recorded as lost before this vote counts.
	c.HasQuorum(now)
	v := c.voteOf(voter)
	v.instance = instance
	v.granted = max(v.granted, epoch)
	if expires := sentAt.Add(UsableLease(lease)); expires.After(v.expires) {
		v.expires = expires
	}
}

// RecordRefusal records that a voter refused a lease request because it has seen the
// given higher epoch. It reports false if that epoch belongs to a later roster; the
// candidate then has to read the roster again.
func (c *Candidate) RecordRefusal(voter string, seen Epoch) bool {
	c.DropVote(voter)
	if seen.Revision() > c.roster.Revision {
		return false
	}
	if seen.Revision() == c.roster.Revision {
		v := c.voteOf(voter)
		v.requested = max(v.requested, seen)
		c.term = max(c.term, seen.Term()+1)
	}
	return true
}

// DropVote stops counting the vote of one voter.
func (c *Candidate) DropVote(voter string) {
	if v, ok := c.votes[voter]; ok {
		v.expires, c.quorumUntil = time.Time{}, time.Time{}
	}
}

// DropAllVotes stops counting every vote, for example after a pause of the process.
func (c *Candidate) DropAllVotes() {
	c.quorumUntil = time.Time{}
	for _, v := range c.votes {
		v.expires = time.Time{}
	}
}

// HasVote reports whether the lease that a voter granted is still valid.
func (c *Candidate) HasVote(now time.Time, voter string) bool {
	v, ok := c.votes[voter]
	return ok && now.Before(v.expires)
}

// SetRemovedWorkers sets the workers that are known to be removed and can no longer
// vote for any candidate. Their weight counts neither as votes nor in the total, so
// that a zone whose workers were all replaced can elect a leader again. This applies
// only while the candidate has the platform's vote: two candidates may know of
// different removed workers, and a worker that one candidate takes for removed may
// have come back for the other.
func (c *Candidate) SetRemovedWorkers(removed map[string]bool) {
	if !maps.Equal(c.removed, removed) {
		c.removed, c.quorumUntil = removed, time.Time{}
	}
}

// removedWeight returns the weight of the removed workers, zero without the
// platform's vote.
func (c *Candidate) removedWeight(now time.Time) int {
	if !c.HasVote(now, Platform) {
		return 0
	}
	sum := 0
	for w := range c.removed {
		sum += c.roster.Weight(w)
	}
	return sum
}

// isMajority reports whether a weight is more than half of the total weight of the
// voters that can still vote.
func (c *Candidate) isMajority(now time.Time, weight int) bool {
	return 2*weight > c.roster.Total()-c.removedWeight(now)
}

// countedWeight returns the weight of a voter, zero if it is a removed worker and
// the candidate has the platform's vote.
func (c *Candidate) countedWeight(now time.Time, voter string) int {
	if c.removed[voter] && c.HasVote(now, Platform) {
		return 0
	}
	return c.roster.Weight(voter)
}

// MayStartTasksOn reports whether task starts may be sent to a worker. A worker that
// the last roster step added gets no task until a quorum has acknowledged that step:
// a candidate with the previous roster would not know that tasks may run there.
func (c *Candidate) MayStartTasksOn(now time.Time, worker string) bool {
	return c.roster.HasWorker(worker) && c.HasVote(now, worker) && (!c.newWorkers[worker] || c.rosterAcknowledged(now))
}

// VoteWeight returns the weight of the votes that the candidate has. Without the
// platform's vote its roster may be out of date. In that case, until the candidate
// has had a quorum, it counts only the workers that have not restarted since the
// roster was written: a restarted worker no longer knows whether it acknowledged a
// later roster.
func (c *Candidate) VoteWeight(now time.Time) int {
	sum := 0
	current := c.hadQuorum || c.HasVote(now, Platform)
	for id, v := range c.votes {
		if now.Before(v.expires) && (current || c.roster.Instances[id] == v.instance && v.instance != "") {
			sum += c.countedWeight(now, id)
		}
	}
	return sum
}

// HasQuorum reports whether the candidate has more than half of the votes. Once it
// has lost the quorum, it never reports true again: another leader may have changed
// the roster in the meantime.
func (c *Candidate) HasQuorum(now time.Time) bool {
	switch {
	case c.lostQuorum:
		return false
	case now.Before(c.quorumUntil):
		return true
	case c.isMajority(now, c.VoteWeight(now)):
		c.hadQuorum = true
		c.quorumUntil = c.earliestExpiry(now)
		return true
	}
	c.lostQuorum = c.hadQuorum
	return false
}

// earliestExpiry returns the earliest expiry among the valid votes.
func (c *Candidate) earliestExpiry(now time.Time) time.Time {
	var earliest time.Time
	for _, v := range c.votes {
		if now.Before(v.expires) && (earliest.IsZero() || v.expires.Before(earliest)) {
			earliest = v.expires
		}
	}
	return earliest
}

// rosterAcknowledged reports whether a quorum of voters has granted a lease under
// the current roster. The next roster step is allowed only after that.
func (c *Candidate) rosterAcknowledged(now time.Time) bool {
	sum := 0
	for id, v := range c.votes {
		if v.granted.Revision() >= c.roster.Revision {
			sum += c.countedWeight(now, id)
		}
	}
	return c.isMajority(now, sum)
}

// MayStoreNextRoster reports whether the next roster may be written to the store.
// The candidate needs the platform's vote for it: another candidate reads the roster
// only after it has won that vote, so that at most one earlier write can still
// arrive after the read.
func (c *Candidate) MayStoreNextRoster(now time.Time) bool {
	return c.HasQuorum(now) && c.HasVote(now, Platform) && c.rosterAcknowledged(now)
}

// AdoptRoster replaces the roster by the next one, which the caller has stored. The
// caller must have checked MayStoreNextRoster before the write. It returns
// ErrRosterUnacknowledged or ErrNotSingleStep, and keeps the roster, if the step is not
// allowed.
func (c *Candidate) AdoptRoster(now time.Time, next Roster) error {
	if !c.rosterAcknowledged(now) {
		return ErrRosterUnacknowledged
	}
	if !isSingleStep(c.roster, next) {
		return ErrNotSingleStep
	}
	c.newWorkers = make(map[string]bool)
	for _, w := range next.AllWorkers() {
		if !c.roster.HasWorker(w) {
			c.newWorkers[w] = true
		}
	}
	c.roster, c.quorumUntil = next, time.Time{}
	return nil
}

// voteOf returns the state of a voter and creates it if there is none.
func (c *Candidate) voteOf(voter string) *vote {
	v, ok := c.votes[voter]
	if !ok {
		v = &vote{}
		c.votes[voter] = v
	}
	return v
}

// isSingleStep reports whether two consecutive rosters differ by a weight of two, or
// by no weight at all (only in observers or instances).
func isSingleStep(from, to Roster) bool {
	if to.Revision != from.Revision+1 || to.Validate() != nil {
		return false
	}
	changed := max(from.PlatformWeight-to.PlatformWeight, to.PlatformWeight-from.PlatformWeight)
	for _, w := range from.Workers {
		if !to.HasVoter(w) {
			changed += WorkerWeight
		}
	}
	for _, w := range to.Workers {
		if !from.HasVoter(w) {
			changed += WorkerWeight
		}
	}
	return changed == WorkerWeight || changed == 0
}
