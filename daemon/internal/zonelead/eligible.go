package zonelead

import (
	"slices"
	"time"

	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/rendezvous"
	"rhubarbstall.example/sched/quorum"
)

// eligible reports whether this entry VM should start a campaign: it is not draining,
// no other alive member reports that it is the zone scheduler, and the members with a
// better rank have had delayPerRank each to start theirs.
func (e *Elector) eligible(now time.Time) bool {
	var ids []string
	hasScheduler := false
	reported := uint32(0)
	for _, m := range e.cfg.View.InZone(e.cfg.Zone) {
		reported = max(reported, quorum.Epoch(m.Report.SchedulerEpoch).Revision())
		self := m.ID == e.cfg.SelfID
		if self && m.Report.Draining {
			return false
		}
		if m.State != membership.Alive && !self {
			continue
		}
		if !self && m.Report.SchedulerEpoch > 0 {
			hasScheduler = true
		}
		if !m.Report.Draining {
			ids = append(ids, m.ID)
		}
	}
	if !slices.Contains(ids, e.cfg.SelfID) {
		ids = append(ids, e.cfg.SelfID)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportedRevision = max(e.reportedRevision, reported)
	if hasScheduler {
		e.noSchedulerSince = time.Time{}
		return false
	}
	if e.noSchedulerSince.IsZero() {
		e.noSchedulerSince = now
	}
	rank := slices.Index(rendezvous.Rank("lead/"+e.cfg.Zone, ids), e.cfg.SelfID)
	return now.Sub(e.noSchedulerSince) >= time.Duration(rank)*delayPerRank
}
