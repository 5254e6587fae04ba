package settingsync

import (
	"context"
	"sync"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/rendezvous"
)

// maxTries bounds the entry VMs of another zone that are tried in turn.
const maxTries = 3

// maxSpreads bounds the revisions that are sent at a time. A silent peer holds
// up one revision for a few seconds and must not hold up the next one.
const maxSpreads = 8

// passOn sends each new revision to other entry VMs. What is missed here is
// repaired by the revisions in the heartbeats.
func (s *Syncer) passOn(ctx context.Context) error {
	var running errgroup.Group
	running.SetLimit(maxSpreads)
	for {
		select {
		case <-ctx.Done():
			return running.Wait()
		case <-s.changed:
			st := s.current.Load()
			running.Go(func() error {
				s.spread(ctx, st)
				return nil
			})
		}
	}
}

// spread sends a state to the peers of the zone and, if it came from the
// platform or an operator, to one entry VM of each other zone. A state from a
// peer of the own zone was sent to the whole zone already.
func (s *Syncer) spread(ctx context.Context, st *state) {
	if st.encoded == nil || st.origin == fromZone {
		return
	}
	var wg sync.WaitGroup
	for zone, members := range s.aliveByZone() {
		switch {
		case zone == s.cfg.Zone:
			for _, m := range members {
				wg.Go(func() { s.sendToFirst(ctx, nil, m, st) })
			}
		case st.origin != fromOtherZone:
			wg.Go(func() { s.sendToFirst(ctx, members[1:], members[0], st) })
		}
	}
	wg.Wait()
}

// sendToFirst sends to a member and, if that fails, to the others in turn.
func (s *Syncer) sendToFirst(ctx context.Context, others []membership.Member, m membership.Member, st *state) {
	for try := 0; ; try++ {
		err := s.send(ctx, m, st)
		if err == nil || ctx.Err() != nil {
			return
		}
		s.log.Debug("[settings] peer did not take the new revision",
			zap.String("peer", m.ID), zap.Uint64("revision", st.revision()), zap.Error(err))
		if try >= len(others) || try+1 >= maxTries {
			return
		}
		m = others[try]
	}
}

// aliveByZone returns the other entry VMs that are alive, by zone and in
// rendezvous order, so that the first one of a zone is its likely watch holder.
func (s *Syncer) aliveByZone() map[string][]membership.Member {
	byID := make(map[string]membership.Member)
	ids := make(map[string][]string)
	for _, m := range s.cfg.View.Members() {
		if m.ID != s.cfg.Self && m.State == membership.Alive {
			byID[m.ID] = m
			ids[m.Zone] = append(ids[m.Zone], m.ID)
		}
	}
	zones := make(map[string][]membership.Member, len(ids))
	for zone, list := range ids {
		for _, id := range rendezvous.Rank(Key, list) {
			zones[zone] = append(zones[zone], byID[id])
		}
	}
	return zones
}
