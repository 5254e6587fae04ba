package settingsync

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/wait"
)

// peerCheckInterval is how often the revision in force is compared with those in
// the heartbeats. The heartbeat interval is 500 ms.
const peerCheckInterval = 100 * time.Millisecond

// pullFromPeers pulls the settings from peers that report a higher revision, until
// ctx ends.
func (s *Syncer) pullFromPeers(ctx context.Context) error {
	for wait.For(ctx, peerCheckInterval) {
		if s.Ready() {
			s.catchUp(ctx)
		}
	}
	return nil
}

// catchUp pulls from the peers with a higher revision, in the order of peersAhead,
// until it has the revision that one of them reported.
func (s *Syncer) catchUp(ctx context.Context) {
	for _, m := range s.peersAhead() {
		if err := s.pull(ctx, m); err != nil {
			s.log.Debug("[settings] pull failed", zap.String("peer", m.ID), zap.Error(err))
			continue
		}
		if s.revision() >= m.Report.SettingsRevision {
			return
		}
	}
}

// peersAhead returns the members that report a higher revision: the alive ones
// first, and among them the highest revision first. It leaves out members whose
// revision was rejected a short time ago.
func (s *Syncer) peersAhead() []membership.Member {
	revision := s.revision()
	var list []membership.Member
	for _, m := range s.cfg.View.Members() {
		if m.ID == s.cfg.Self || m.State == membership.Dead || m.State == membership.Left {
			continue
		}
		if m.Report.SettingsRevision > revision && !s.rejections.contains(m.ID, m.Report.SettingsRevision) {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b membership.Member) int {
		// A suspect member may not answer, so it comes last.
		if c := cmp.Compare(stateRank(a), stateRank(b)); c != 0 {
			return c
		}
		return cmp.Compare(b.Report.SettingsRevision, a.Report.SettingsRevision)
	})
	return list
}

func stateRank(m membership.Member) int {
	if m.State == membership.Alive {
		return 0
	}
	return 1
}
