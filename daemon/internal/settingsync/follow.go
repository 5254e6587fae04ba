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

// followInterval is how often the revisions in the heartbeats are compared. The
// heartbeat interval is 500 ms.
const followInterval = 100 * time.Millisecond

// followPeers pulls the settings from a peer that reports a higher revision.
func (s *Syncer) followPeers(ctx context.Context) error {
	for wait.For(ctx, followInterval) {
		if s.Ready() {
			s.catchUp(ctx)
		}
	}
	return nil
}

// catchUp pulls from the members ahead, the highest revision first, until one answers.
func (s *Syncer) catchUp(ctx context.Context) {
	for _, m := range s.ahead() {
		if err := s.pull(ctx, m); err != nil {
			s.log.Debug("[settings] pull failed", zap.String("peer", m.ID), zap.Error(err))
			continue
		}
		if s.revision() >= m.Report.SettingsRevision {
			return
		}
	}
}

// ahead returns the members that report a higher revision, highest first. It
// leaves out those whose revision was refused a short time ago.
func (s *Syncer) ahead() []membership.Member {
	revision := s.revision()
	var list []membership.Member
	for _, m := range s.cfg.View.Members() {
		if m.ID == s.cfg.Self || m.State == membership.Dead || m.State == membership.Left {
			continue
		}
		if m.Report.SettingsRevision > revision && !s.refusals.has(m.ID, m.Report.SettingsRevision) {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b membership.Member) int {
		// A suspect member may not answer, so it is asked last.
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
