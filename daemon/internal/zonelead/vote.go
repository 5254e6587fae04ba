package zonelead

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	wire "rhubarbstall.example/wire/platform"

	"rhubarbstall.example/daemon/internal/platform"
	"rhubarbstall.example/sched/quorum"
)

// errVoteTaken means that another entry VM has the platform's vote.
var errVoteTaken = errors.New("another entry VM has the platform's vote")

// errNoRoster means that there is no current roster and none can be created.
var errNoRoster = errors.New("no current roster is known")

// platformVote is the platform's vote under a lease.
type platformVote struct {
	leaseID string
	// sentAt is the time at which the request for the lease was sent.
	sentAt time.Time
}

// claimPlatformVote takes the platform's vote. The lease counts from the time at
// which it was requested, although the vote record is written later.
func (e *Elector) claimPlatformVote(ctx context.Context) (platformVote, error) {
	// If another entry VM already has the vote, this read usually shows it and saves
	// three writes.
	if _, err := e.cfg.Store.Get(ctx, voteKey(e.cfg.Zone)); err == nil {
		return platformVote{}, errVoteTaken
	} else if !errors.Is(err, platform.ErrNotFound) {
		return platformVote{}, err
	}
	sentAt := time.Now()
	id, err := e.cfg.Store.GrantLease(ctx, e.cfg.OwnerLease())
	if err != nil {
		return platformVote{}, err
	}
	value, err := json.Marshal(voteRecord{Owner: e.cfg.OwnerID, Lease: id})
	if err != nil {
		return platformVote{}, err
	}
	if _, err := platform.PutConfirmed(ctx, e.cfg.Store, voteKey(e.cfg.Zone), value, 0, id); err != nil {
		e.revokeLease(id)
		if errors.Is(err, platform.ErrConflict) {
			return platformVote{}, errVoteTaken
		}
		return platformVote{}, err
	}
	return platformVote{leaseID: id, sentAt: sentAt}, nil
}

// revokeLease ends a lease. It uses its own context, because the context of the
// campaign may already be cancelled.
func (e *Elector) revokeLease(id string) {
	if id == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = e.cfg.Store.RevokeLease(ctx, id)
}

// readRoster reads the roster and caches it for use while the platform is unavailable.
func (e *Elector) readRoster(ctx context.Context) (quorum.Roster, error) {
	entry, err := e.cfg.Store.Get(ctx, rosterKey(e.cfg.Zone))
	if err != nil {
		return quorum.Roster{}, err
	}
	return e.cacheStoredRoster(entry)
}

func (e *Elector) cacheStoredRoster(entry wire.Entry) (quorum.Roster, error) {
	var rec rosterRecord
	if err := json.Unmarshal(entry.Value, &rec); err != nil {
		return quorum.Roster{}, fmt.Errorf("invalid roster record: %w", err)
	}
	if err := rec.Validate(); err != nil {
		return quorum.Roster{}, fmt.Errorf("invalid roster record: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.roster, e.rosterStoreRevision, e.rosterReadAt = &rec.Roster, entry.Revision, time.Now()
	return rec.Roster, nil
}

// readOrCreateRoster reads the roster, or creates the first one from the list of VMs.
func (e *Elector) readOrCreateRoster(ctx context.Context) (quorum.Roster, error) {
	for range 2 {
		r, err := e.readRoster(ctx)
		if !errors.Is(err, platform.ErrNotFound) {
			return r, err
		}
		workers := e.listedWorkers()
		if len(workers) == 0 {
			return quorum.Roster{}, errNoRoster
		}
		value, err := json.Marshal(rosterRecord{Roster: quorum.NewRoster(workers), Writer: e.cfg.OwnerID})
		if err != nil {
			return quorum.Roster{}, err
		}
		_, err = platform.PutConfirmed(ctx, e.cfg.Store, rosterKey(e.cfg.Zone), value, 0, "")
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return quorum.Roster{}, err
		}
	}
	return quorum.Roster{}, errNoRoster
}

// listedWorkers returns the workers of the zone in the platform's VM list.
func (e *Elector) listedWorkers() []string {
	vms, at := e.cfg.VMs.VMs()
	if at.IsZero() {
		return nil
	}
	var ids []string
	for _, vm := range vms {
		if vm.Role == wire.RoleWorker && vm.AvailabilityZone == e.cfg.Zone {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}
