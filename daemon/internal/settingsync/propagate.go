package settingsync

import (
	"context"
	"sync"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/rendezvous"
)

// maxSendAttempts bounds the entry VMs of another zone that a revision is offered
// to before this VM gives up on the zone.
const maxSendAttempts = 3

// maxConcurrentSends bounds the revisions that are being sent at the same time. An
// unresponsive peer delays one revision for a few seconds and must not delay the
// next one.
const maxConcurrentSends = 8

// propagate sends each new revision to other entry VMs. An entry VM that misses a
// revision learns of it from the heartbeats and pulls it.
func (s *Syncer) propagate(ctx context.Context) error {
	var running errgroup.Group
	running.SetLimit(maxConcurrentSends)
	for {
		select {
		case <-ctx.Done():
			return running.Wait()
		case <-s.newRevision:
			snap := s.current.Load()
			running.Go(func() error {
				s.sendToPeers(ctx, snap)
				return nil
			})
		}
	}
}

// sendToPeers sends a snapshot to the peers of this zone and, if it came from the
// platform or an operator, to one entry VM of each other zone. A snapshot from a
// peer of this zone is not sent, because that peer sent it to the whole zone.
func (s *Syncer) sendToPeers(ctx context.Context, snap *snapshot) {
	if snap.encoded == nil || snap.origin == originZone {
		return
	}
	var wg sync.WaitGroup
	for zone, members := range s.alivePeersByZone() {
		switch {
		case zone == s.cfg.Zone:
			for _, m := range members {
				wg.Go(func() { s.sendWithFallback(ctx, nil, m, snap) })
			}
		case snap.origin != originOtherZone:
			wg.Go(func() { s.sendWithFallback(ctx, members[1:], members[0], snap) })
		}
	}
	wg.Wait()
}

// sendWithFallback sends a snapshot to a member and, if that fails, to the others
// one after another.
func (s *Syncer) sendWithFallback(ctx context.Context, others []membership.Member, m membership.Member, snap *snapshot) {
	for attempt := 0; ; attempt++ {
		err := s.sendRecord(ctx, m, snap)
		if err == nil || ctx.Err() != nil {
			return
		}
		s.log.Debug("[settings] could not send the new revision to a peer",
			zap.String("peer", m.ID), zap.Uint64("revision", snap.revision()), zap.Error(err))
		if attempt >= len(others) || attempt+1 >= maxSendAttempts {
			return
		}
		m = others[attempt]
	}
}

// alivePeersByZone returns the other entry VMs that are alive, by zone and in
// rendezvous order. The first one of a zone is probably its watcher.
func (s *Syncer) alivePeersByZone() map[string][]membership.Member {
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
