package jobs

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/sched/quorum"
)

const (
	methodRoster   = "jobs.roster"
	publishTimeout = time.Second
)

// publish sends a roster to the other entry VMs of the zone in the background. An
// entry VM that misses it reads the roster from the platform after the next heartbeat.
func (s *Service) publish(ctx context.Context, r quorum.Roster) {
	if s.cfg.Peers == nil {
		return
	}
	for _, m := range s.cfg.View.InZone(s.cfg.Zone) {
		if m.ID == s.cfg.SelfID || m.State != membership.Alive {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, publishTimeout)
			defer cancel()
			if _, err := peer.Call[quorum.Roster, noArgs](ctx, s.cfg.Peers, m.PeerAddr, methodRoster, &r); err != nil {
				s.cfg.Logger.Debug("[zonelead] failed to send roster", zap.String("to", m.ID), zap.Error(err))
			}
		}()
	}
}

// rosterLocal stores a roster that the zone scheduler published.
func (s *Service) rosterLocal(_ context.Context, r *quorum.Roster) (*noArgs, error) {
	s.leader.CacheRoster(*r)
	return &noArgs{}, nil
}
